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
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Decides which prompt parts are in quarantine, because the backend servers that work on
 * them end. The decision depends only on the evidence, so that hosts which have the same
 * evidence decide alike. Evidence is exchanged by {@link #evidenceAfter} and
 * {@link #add}, in any order and more than once. Not thread-safe; reads no clock.
 */
public final class PromptQuarantine {

	/** Crashes without a success from which on an unknown part is in quarantine. */
	private static final int MIN_CRASHES = 3;

	/**
	 * Crashes without a success from which on a part is in quarantine that was served
	 * before. A part of many requests is in flight whenever a server ends.
	 */
	private static final int MIN_CRASHES_OF_SERVED_PART = 6;

	/**
	 * Crashes that are closer to each other are taken for one with a common cause, unless
	 * a request was sent from one server to the other.
	 */
	private static final long MIN_CRASH_DISTANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	/** Difference from which on a success is taken for a later one. */
	private static final long MIN_SUCCESS_DISTANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	/** Time after the last crash of a part for which its crashes are kept. */
	private static final long LIFETIME_NANOS = TimeUnit.MINUTES.toNanos(10);

	private static final long MIN_PROBE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(30);

	private static final long MAX_PROBE_INTERVAL_NANOS = TimeUnit.MINUTES.toNanos(5);

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

	private final Map<Long, Long> probeNanos = new HashMap<>();

	private Map<Long, Verdict> verdicts = Map.of();

	private long sequence;

	/**
	 * Adds a piece of evidence.
	 * @param evidence the evidence, not null
	 * @return whether any of it is new
	 */
	public boolean add(CrashEvidence evidence) {
		return !addAll(List.of(evidence)).isEmpty();
	}

	/**
	 * Adds evidence that belongs together, and decides after the last piece only.
	 * @param evidence the evidence, not null
	 * @return the pieces that are new, never null
	 */
	public List<CrashEvidence> addAll(List<CrashEvidence> evidence) {
		List<CrashEvidence> added = evidence.stream().filter(this::addWithoutDecision).toList();
		if (!added.isEmpty()) {
			decide();
		}
		return added;
	}

	private boolean addWithoutDecision(CrashEvidence evidence) {
		return (evidence instanceof CrashEvidence.Crash crash) ? addCrash(crash)
				: addSuccess((CrashEvidence.Success) evidence);
	}

	private boolean addCrash(CrashEvidence.Crash crash) {
		Entry<CrashEvidence.Crash> known = this.crashes.get(crash.server());
		CrashEvidence.Crash merged = (known != null) ? merge(known.evidence, crash) : crash;
		if (merged.candidates().isEmpty() || (known != null && merged.equals(known.evidence))) {
			return false;
		}
		this.crashes.put(crash.server(), new Entry<>(merged, ++this.sequence));
		if (this.crashes.size() > MAX_CRASHES) {
			removeOldestCrash();
		}
		crash.candidates().forEach(this::addEarlierSuccesses);
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

	// Removes the oldest crash that tells against no part in quarantine, else the oldest.
	private void removeOldestCrash() {
		Set<String> needed = new HashSet<>();
		this.verdicts.values().forEach((verdict) -> needed.addAll(verdict.servers()));
		Comparator<CrashEvidence.Crash> byNeed = Comparator.comparing((crash) -> needed.contains(crash.server()));
		this.crashes.values()
			.stream()
			.map(Entry::evidence)
			.min(byNeed.thenComparingLong(CrashEvidence.Crash::nanos))
			.ifPresent((crash) -> this.crashes.remove(crash.server()));
	}

	// Tells the other hosts which parts of a candidate this host has seen served before.
	private void addEarlierSuccesses(List<Long> candidate) {
		for (Long part : candidate) {
			Long servedNanos = this.servedParts.get(part);
			if (servedNanos != null) {
				addSuccess(new CrashEvidence.Success(part, servedNanos));
			}
		}
	}

	private boolean addSuccess(CrashEvidence.Success success) {
		Entry<CrashEvidence.Success> known = this.successes.get(success.part());
		if (known != null && success.nanos() - known.evidence.nanos() < MIN_SUCCESS_DISTANCE_NANOS) {
			return false;
		}
		this.successes.put(success.part(), new Entry<>(success, ++this.sequence));
		return true;
	}

	/**
	 * Records that a request was served.
	 * @param parts the shared parts of its prompt, not null
	 * @param sentNanos when it was sent to its backend server, in nanoseconds
	 * @return whether this is new evidence
	 */
	public boolean recordServed(Collection<Long> parts, long sentNanos) {
		boolean isNew = false;
		for (Long part : parts) {
			this.servedParts.merge(part, sentNanos, (first, second) -> (second - first > 0) ? second : first);
			if (hasCrashAfterSuccess(part)) {
				isNew |= add(new CrashEvidence.Success(part, sentNanos));
			}
		}
		return isNew;
	}

	private boolean hasCrashAfterSuccess(Long part) {
		return this.crashes.values().stream().anyMatch((crash) -> isImplicated(part, crash.evidence));
	}

	private boolean isImplicated(Long part, CrashEvidence.Crash crash) {
		Entry<CrashEvidence.Success> success = this.successes.get(part);
		boolean isBeforeSuccess = success != null && crash.nanos() - success.evidence.nanos() < 0;
		return !isBeforeSuccess && crash.candidates().stream().anyMatch((candidate) -> candidate.contains(part));
	}

	/**
	 * Returns the first of some parts that is in quarantine.
	 * @param parts the parts, not null
	 * @return the part, empty if none is in quarantine
	 */
	public Optional<Long> findQuarantined(Collection<Long> parts) {
		if (this.verdicts.isEmpty()) {
			return Optional.empty();
		}
		return parts.stream().filter(this.verdicts::containsKey).findFirst();
	}

	/**
	 * Returns the parts in quarantine.
	 * @return the parts with the number of crashes that tell against each, never null
	 */
	public Map<Long, Integer> quarantined() {
		Map<Long, Integer> counts = new TreeMap<>();
		this.verdicts.forEach((part, verdict) -> counts.put(part, verdict.crashCount()));
		return counts;
	}

	/**
	 * Returns the time until one request with a part in quarantine may be sent to find
	 * out whether it still ends its server. The intervals grow with the time in
	 * quarantine.
	 * @param part a part in quarantine
	 * @param now the current time in nanoseconds
	 * @return the time, zero if such a request may be sent now, never null
	 */
	public Duration timeUntilProbe(long part, long now) {
		Verdict verdict = this.verdicts.get(part);
		if (verdict == null) {
			return Duration.ZERO;
		}
		long probedFor = 2 * (verdict.lastNanos() - verdict.firstNanos());
		long interval = Math.min(MAX_PROBE_INTERVAL_NANOS, Math.max(MIN_PROBE_INTERVAL_NANOS, probedFor));
		long start = Math.max(verdict.lastNanos(), this.probeNanos.getOrDefault(part, verdict.lastNanos()));
		return Duration.ofNanos(Math.max(0, start + interval - now));
	}

	/**
	 * Records that a request with a part in quarantine is sent to find out whether it
	 * still ends its server.
	 * @param part the part
	 * @param now the current time in nanoseconds
	 */
	public void recordProbe(long part, long now) {
		this.probeNanos.put(part, now);
	}

	/**
	 * Forgets crashes that were followed by none with the same part for ten minutes, and
	 * successes of parts without a crash.
	 * @param now the current time in nanoseconds
	 */
	public void removeExpired(long now) {
		Set<String> kept = new HashSet<>();
		this.verdicts.values()
			.stream()
			.filter((verdict) -> now - verdict.lastNanos() < LIFETIME_NANOS)
			.forEach((verdict) -> kept.addAll(verdict.servers()));
		boolean isChanged = this.crashes.values()
			.removeIf((crash) -> now - crash.evidence.nanos() >= LIFETIME_NANOS
					&& !kept.contains(crash.evidence.server()));
		if (isChanged) {
			this.successes.keySet()
				.removeIf((part) -> this.crashes.values()
					.stream()
					.noneMatch((crash) -> crash.evidence.candidates()
						.stream()
						.anyMatch((candidate) -> candidate.contains(part))));
			decide();
		}
	}

	// Finds the parts that explain most crashes. A crash that one part explains no longer
	// tells against the others.
	private void decide() {
		Map<Long, Verdict> decided = new HashMap<>();
		Set<String> explained = new HashSet<>();
		Optional<Verdict> strongest = findStrongest(explained);
		while (strongest.isPresent()) {
			decided.put(strongest.get().part(), strongest.get());
			explained.addAll(strongest.get().servers());
			strongest = findStrongest(explained);
		}
		this.verdicts = Map.copyOf(decided);
		this.probeNanos.keySet().retainAll(this.verdicts.keySet());
	}

	private Optional<Verdict> findStrongest(Set<String> explained) {
		Map<Long, List<CrashEvidence.Crash>> crashesByPart = new HashMap<>();
		for (Entry<CrashEvidence.Crash> crash : this.crashes.values()) {
			if (!explained.contains(crash.evidence.server())) {
				sharedParts(crash.evidence).stream()
					.filter((part) -> isImplicated(part, crash.evidence))
					.forEach((part) -> crashesByPart.computeIfAbsent(part, (key) -> new ArrayList<>())
						.add(crash.evidence));
			}
		}
		return crashesByPart.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().size() >= MIN_CRASHES)
			.map((entry) -> judge(entry.getKey(), entry.getValue()))
			.filter((verdict) -> verdict.excessCount() >= 0)
			.max(Verdict::compareStrength);
	}

	private static Set<Long> sharedParts(CrashEvidence.Crash crash) {
		Set<Long> parts = new HashSet<>();
		crash.candidates().forEach(parts::addAll);
		return parts;
	}

	private Verdict judge(Long part, List<CrashEvidence.Crash> implicating) {
		implicating.sort(Comparator.comparingLong(CrashEvidence.Crash::nanos));
		int minimum = this.successes.containsKey(part) ? MIN_CRASHES_OF_SERVED_PART : MIN_CRASHES;
		int count = 0;
		long countedNanos = 0;
		long decidedNanos = 0;
		for (CrashEvidence.Crash crash : implicating) {
			boolean isSeparate = crash.nanos() - countedNanos >= MIN_CRASH_DISTANCE_NANOS
					|| crash.repeatedParts().contains(part);
			if (count == 0 || isSeparate) {
				count++;
				countedNanos = crash.nanos();
				decidedNanos = (count <= minimum) ? crash.nanos() : decidedNanos;
			}
		}
		int position = implicating.stream()
			.flatMap((crash) -> crash.candidates().stream())
			.mapToInt((candidate) -> candidate.indexOf(part))
			.max()
			.orElse(0);
		Set<String> servers = implicating.stream().map(CrashEvidence.Crash::server).collect(Collectors.toSet());
		long lastNanos = implicating.get(implicating.size() - 1).nanos();
		return new Verdict(part, count, count - minimum, position, decidedNanos, lastNanos, servers);
	}

	/**
	 * Returns evidence in the order in which this host learned it.
	 * @param after the number of the last evidence that is not wanted, zero for all
	 * @param limit the largest number of pieces of evidence, positive
	 * @return the evidence with its numbers, never null
	 */
	public List<Numbered> evidenceAfter(long after, int limit) {
		List<Numbered> found = new ArrayList<>();
		this.crashes.values().forEach((entry) -> found.add(new Numbered(entry.number, entry.evidence)));
		this.successes.values().forEach((entry) -> found.add(new Numbered(entry.number, entry.evidence)));
		return found.stream()
			.filter((one) -> one.number() > after)
			.sorted((first, second) -> Long.compare(first.number(), second.number()))
			.limit(limit)
			.toList();
	}

	/**
	 * Returns the number of the newest evidence.
	 * @return the number, zero if there never was any
	 */
	public long newestNumber() {
		return this.sequence;
	}

	/**
	 * Returns a value that is equal on hosts with the same evidence, whenever they
	 * learned it.
	 * @return the value, zero without evidence
	 */
	public long digest() {
		long digest = 0;
		for (Entry<CrashEvidence.Crash> crash : this.crashes.values()) {
			long server = 31L * crash.evidence.server().hashCode();
			for (List<Long> candidate : crash.evidence.candidates()) {
				digest ^= DIGEST_MULTIPLIER * (server + candidate.hashCode());
			}
			for (Long part : crash.evidence.repeatedParts()) {
				digest ^= DIGEST_MULTIPLIER * (server + 31L * part.hashCode());
			}
		}
		for (Long part : this.successes.keySet()) {
			digest ^= DIGEST_MULTIPLIER * part.hashCode();
		}
		return digest;
	}

	/**
	 * Evidence with its place in the order in which this host learned it.
	 *
	 * @param number the place, positive
	 * @param evidence the evidence, not null
	 */
	public record Numbered(long number, CrashEvidence evidence) {
	}

	/**
	 * The crashes that tell against a part.
	 *
	 * @param part the part
	 * @param crashCount the number of crashes, without those that another one caused
	 * @param excessCount how many there are beyond the least number for a quarantine
	 * @param position the largest index of the part in a prompt
	 * @param firstNanos when the part came into quarantine
	 * @param lastNanos when the last server ended
	 * @param servers the servers that ended
	 */
	private record Verdict(long part, int crashCount, int excessCount, int position, long firstNanos, long lastNanos,
			Set<String> servers) {

		// Prefers the part with more crashes, then the more specific part, which is in
		// fewer requests.
		int compareStrength(Verdict other) {
			if (this.excessCount != other.excessCount) {
				return Integer.compare(this.excessCount, other.excessCount);
			}
			if (this.position != other.position) {
				return Integer.compare(this.position, other.position);
			}
			return Long.compare(this.part, other.part);
		}

	}

	private record Entry<T extends CrashEvidence>(T evidence, long number) {
	}

}
