package org.celeryhill.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Decides which parts of requests are in quarantine, because the backend servers that
 * work on them end. A part is any of the {@link RequestTraits}: a part of the prompt or
 * the hash of a whole request. The decision depends only on the evidence, so that hosts
 * which have the same evidence decide alike. Evidence is exchanged by
 * {@link #evidenceAfter} and {@link #add}, in any order and more than once. Not
 * thread-safe; reads no clock.
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
	private static final long MIN_CRASH_DISTANCE_NANOS = Duration.ofMillis(100).toNanos();

	/** Time after the last crash of a part for which its crashes are kept. */
	private static final long LIFETIME_NANOS = Duration.ofMinutes(10).toNanos();

	private static final long MIN_PROBE_INTERVAL_NANOS = Duration.ofSeconds(30).toNanos();

	private static final long MAX_PROBE_INTERVAL_NANOS = Duration.ofMinutes(5).toNanos();

	private final EvidenceArchive archive = new EvidenceArchive();

	private final Map<Long, Long> probeNanos = new HashMap<>();

	private Map<Long, Verdict> verdicts = Map.of();

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
		List<CrashEvidence> added = evidence.stream().filter(this.archive::add).toList();
		if (!added.isEmpty()) {
			this.archive.removeExcess(serversOfVerdicts());
			decide();
		}
		return added;
	}

	private Set<String> serversOfVerdicts() {
		Set<String> servers = new HashSet<>();
		this.verdicts.values().forEach((verdict) -> servers.addAll(verdict.servers()));
		return servers;
	}

	/**
	 * Records that a request was served.
	 * @param traits the traits of the request, not null
	 * @param sentNanos when it was sent to its backend server, in nanoseconds
	 * @return whether this is new evidence
	 */
	public boolean recordServed(RequestTraits traits, long sentNanos) {
		boolean isNew = this.archive.recordServed(traits, sentNanos);
		if (isNew) {
			decide();
		}
		return isNew;
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
		if (this.archive.removeCrashesBefore(now - LIFETIME_NANOS, kept)) {
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
		for (CrashEvidence.Crash crash : this.archive.crashes()) {
			if (!explained.contains(crash.server())) {
				this.archive.implicatedParts(crash)
					.forEach((part) -> crashesByPart.computeIfAbsent(part, (key) -> new ArrayList<>()).add(crash));
			}
		}
		return crashesByPart.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().size() >= MIN_CRASHES)
			.map((entry) -> judge(entry.getKey(), entry.getValue()))
			.filter((verdict) -> verdict.excessCount() >= 0)
			.max(Verdict::compareStrength);
	}

	private Verdict judge(Long part, List<CrashEvidence.Crash> implicating) {
		implicating.sort(Comparator.comparingLong(CrashEvidence.Crash::nanos));
		int minimum = this.archive.wasServed(part) ? MIN_CRASHES_OF_SERVED_PART : MIN_CRASHES;
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
		return this.archive.evidenceAfter(after, limit);
	}

	/**
	 * Returns the number of the newest evidence.
	 * @return the number, zero if there never was any
	 */
	public long newestNumber() {
		return this.archive.newestNumber();
	}

	/**
	 * Returns a value that is equal on hosts with the same evidence, whenever they
	 * learned it.
	 * @return the value, zero without evidence
	 */
	public long digest() {
		return this.archive.digest();
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

}
