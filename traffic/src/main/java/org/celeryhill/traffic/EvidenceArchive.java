package org.celeryhill.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
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

	private static final int MAX_CANDIDATES = 32;

	private static final int MAX_SERVED_PARTS = 4096;

	private final Map<String, Entry<CrashEvidence.Crash>> crashes = new LinkedHashMap<>();

	private final Map<Long, Entry<CrashEvidence.Success>> successes = new HashMap<>();

	/** When the last served request with a part was sent, by part. */
	private final Map<Long, Long> servedParts = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
			return size() > MAX_SERVED_PARTS;
		}
	};

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
		Long servedNanos = this.servedParts.get(part);
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

	// Records that a request with some parts was served. Returns whether this is new
	// evidence.
	boolean recordServed(Collection<Long> parts, long sentNanos) {
		boolean isNew = false;
		for (Long part : parts) {
			this.servedParts.merge(part, sentNanos, (first, second) -> (second - first > 0) ? second : first);
			if (crashes().stream().anyMatch((crash) -> isImplicated(part, crash))) {
				isNew |= addSuccess(new CrashEvidence.Success(part, sentNanos));
			}
		}
		return isNew;
	}

	// Returns whether a crash tells against a part, that is whether no request with the
	// part was served since.
	boolean isImplicated(Long part, CrashEvidence.Crash crash) {
		Entry<CrashEvidence.Success> success = this.successes.get(part);
		boolean isBeforeSuccess = success != null && crash.nanos() - success.evidence.nanos() < 0;
		return !isBeforeSuccess && crash.candidates().stream().anyMatch((candidate) -> candidate.contains(part));
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
	}

	// Removes the crashes before a time except those of the given servers, and the
	// successes of parts without a crash. Returns whether there were any such crashes.
	boolean removeCrashesBefore(long nanos, Set<String> keptServers) {
		boolean isChanged = this.crashes.values()
			.removeIf((crash) -> crash.evidence.nanos() - nanos <= 0 && !keptServers.contains(crash.evidence.server()));
		if (isChanged) {
			Set<Long> parts = new HashSet<>();
			crashes().forEach((crash) -> parts.addAll(crash.parts()));
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

	private record Entry<T extends CrashEvidence>(T evidence, long number) {

		private PromptQuarantine.Numbered toNumbered() {
			return new PromptQuarantine.Numbered(this.number, this.evidence);
		}

	}

}
