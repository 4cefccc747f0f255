package org.celeryhill.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Keeps the evidence against prompt parts within bounds and numbers it in the order in
 * which this host learned it. Not thread-safe.
 */
final class EvidenceArchive {

	/** Difference from which on a success is taken for a later one. */
	private static final long MIN_SUCCESS_DISTANCE_NANOS = Duration.ofMillis(300).toNanos();

	/** 2<sup>64</sup> divided by the golden ratio, as in Fibonacci hashing. */
	private static final long DIGEST_MULTIPLIER = 0x9E3779B97F4A7C15L;

	private static final int MAX_CRASHES = 64;

	/** More than the requests that an engine runs at the same time. */
	private static final int MAX_CANDIDATES = 96;

	private static final int MAX_SERVED_PARTS = 4096;

	private final Map<String, Entry<CrashEvidence.Crash>> crashes = new LinkedHashMap<>();

	/** The parts of all candidates of a crash, by its server. */
	private final Map<String, Set<Long>> partsByServer = new HashMap<>();

	private final Map<Long, Entry<CrashEvidence.Success>> successes = new HashMap<>();

	/**
	 * When the last served request with a part was sent, by part, for the parts that many
	 * requests share.
	 */
	private final Map<Long, Long> servedSharedParts = new ServedParts();

	/** The same for the parts that are specific to a request, which come more often. */
	private final Map<Long, Long> servedSpecificParts = new ServedParts();

	private long newestNumber;

	// Adds evidence. Returns whether any of it is new.
	boolean add(CrashEvidence evidence) {
		return (evidence instanceof CrashEvidence.Crash crash) ? addCrash(crash)
				: addSuccess((CrashEvidence.Success) evidence);
	}

	private boolean addCrash(CrashEvidence.Crash crash) {
		Entry<CrashEvidence.Crash> known = this.crashes.get(crash.server());
		CrashEvidence.Crash merged = (known != null) ? merge(known.evidence, crash) : crash;
		if (merged.candidates().isEmpty() || (known != null && merged.equals(known.evidence))) {
			return false;
		}
		this.crashes.put(crash.server(), new Entry<>(merged, ++this.newestNumber));
		this.partsByServer.put(crash.server(), merged.parts());
		crash.parts().forEach(this::addEarlierSuccess);
		return true;
	}

	private static CrashEvidence.Crash merge(CrashEvidence.Crash known, CrashEvidence.Crash other) {
		Set<List<Long>> candidates = new HashSet<>(known.candidates());
		for (List<Long> candidate : other.candidates()) {
			if (candidates.size() < MAX_CANDIDATES) {
				candidates.add(candidate);
			}
		}
		Set<Long> repeatedParts = new HashSet<>(known.repeatedParts());
		repeatedParts.addAll(other.repeatedParts());
		return new CrashEvidence.Crash(known.server(), candidates, repeatedParts, known.nanos());
	}

	// Tells the other hosts that this one has seen a part of a candidate served before.
	private void addEarlierSuccess(Long part) {
		Long servedNanos = this.servedSharedParts.get(part);
		servedNanos = (servedNanos != null) ? servedNanos : this.servedSpecificParts.get(part);
		if (servedNanos != null) {
			addSuccess(new CrashEvidence.Success(part, servedNanos));
		}
	}

	private boolean addSuccess(CrashEvidence.Success success) {
		Entry<CrashEvidence.Success> known = this.successes.get(success.part());
		if (known != null && success.nanos() - known.evidence.nanos() < MIN_SUCCESS_DISTANCE_NANOS) {
			return false;
		}
		this.successes.put(success.part(), new Entry<>(success, ++this.newestNumber));
		return true;
	}

	// Records that a request was served. Returns whether this is new evidence.
	boolean recordServed(RequestTraits traits, long sentNanos) {
		traits.shared().forEach((part) -> this.servedSharedParts.merge(part, sentNanos, EvidenceArchive::later));
		traits.specific().forEach((part) -> this.servedSpecificParts.merge(part, sentNanos, EvidenceArchive::later));
		boolean isNew = false;
		if (!this.crashes.isEmpty()) {
			for (Long part : traits.all()) {
				isNew |= isImplicated(part) && addSuccess(new CrashEvidence.Success(part, sentNanos));
			}
		}
		return isNew;
	}

	private static long later(long first, long second) {
		return (second - first > 0) ? second : first;
	}

	private boolean isImplicated(Long part) {
		return this.crashes.values()
			.stream()
			.map(Entry::evidence)
			.anyMatch((crash) -> this.partsByServer.get(crash.server()).contains(part) && !wasServedAfter(part, crash));
	}

	// Returns the parts against which a crash tells: those of its candidates without a
	// request that was sent later and served.
	List<Long> implicatedParts(CrashEvidence.Crash crash) {
		return this.partsByServer.get(crash.server()).stream().filter((part) -> !wasServedAfter(part, crash)).toList();
	}

	private boolean wasServedAfter(Long part, CrashEvidence.Crash crash) {
		Entry<CrashEvidence.Success> success = this.successes.get(part);
		return success != null && crash.nanos() - success.evidence.nanos() < 0;
	}

	// Returns whether a request with a part is known to have been served.
	boolean wasServed(Long part) {
		return this.successes.containsKey(part);
	}

	List<CrashEvidence.Crash> crashes() {
		return this.crashes.values().stream().map(Entry::evidence).toList();
	}

	// Removes the oldest crashes beyond the bound, those of the given servers last.
	void removeExcess(Set<String> neededServers) {
		Comparator<CrashEvidence.Crash> byNeed = Comparator
			.comparing((crash) -> neededServers.contains(crash.server()));
		while (this.crashes.size() > MAX_CRASHES) {
			crashes().stream()
				.min(byNeed.thenComparingLong(CrashEvidence.Crash::nanos))
				.ifPresent((crash) -> this.crashes.remove(crash.server()));
		}
		this.partsByServer.keySet().retainAll(this.crashes.keySet());
	}

	// Removes the crashes before a time except those of the given servers, and the
	// successes of parts without a crash. Returns whether there were any such crashes.
	boolean removeCrashesBefore(long nanos, Set<String> keptServers) {
		boolean isChanged = this.crashes.values()
			.removeIf((crash) -> crash.evidence.nanos() - nanos <= 0 && !keptServers.contains(crash.evidence.server()));
		if (isChanged) {
			this.partsByServer.keySet().retainAll(this.crashes.keySet());
			Set<Long> parts = new HashSet<>();
			this.partsByServer.values().forEach(parts::addAll);
			this.successes.keySet().retainAll(parts);
		}
		return isChanged;
	}

	// Returns evidence in the order in which this host learned it.
	List<PromptQuarantine.Numbered> evidenceAfter(long after, int limit) {
		List<PromptQuarantine.Numbered> found = new ArrayList<>();
		this.crashes.values().forEach((entry) -> found.add(entry.toNumbered()));
		this.successes.values().forEach((entry) -> found.add(entry.toNumbered()));
		return found.stream()
			.filter((one) -> one.number() > after)
			.sorted(Comparator.comparingLong(PromptQuarantine.Numbered::number))
			.limit(limit)
			.toList();
	}

	long newestNumber() {
		return this.newestNumber;
	}

	// Returns a value that does not depend on when the evidence was learned.
	long digest() {
		long digest = 0;
		for (CrashEvidence.Crash crash : crashes()) {
			long server = 31L * crash.server().hashCode();
			for (List<Long> candidate : crash.candidates()) {
				digest ^= DIGEST_MULTIPLIER * (server + candidate.hashCode());
			}
			for (Long part : crash.repeatedParts()) {
				digest ^= DIGEST_MULTIPLIER * (server + 31L * part.hashCode());
			}
		}
		for (Long part : this.successes.keySet()) {
			digest ^= DIGEST_MULTIPLIER * part.hashCode();
		}
		return digest;
	}

	/** The parts used last, with a bound. */
	private static final class ServedParts extends LinkedHashMap<Long, Long> {

		private static final long serialVersionUID = 1L;

		private ServedParts() {
			super(16, 0.75f, true);
		}

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
			return size() > MAX_SERVED_PARTS;
		}

	}

	private record Entry<T extends CrashEvidence>(T evidence, long number) {

		private PromptQuarantine.Numbered toNumbered() {
			return new PromptQuarantine.Numbered(this.number, this.evidence);
		}

	}

}
