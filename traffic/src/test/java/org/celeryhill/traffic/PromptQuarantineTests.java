package org.celeryhill.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PromptQuarantine}.
 */
class PromptQuarantineTests {

	private static final long FIRST = 11;

	private static final long SHARED = 22;

	private static final long DEADLY = 66;

	private static final long LAST = 77;

	private static final long WHOLE = 88;

	private final PromptQuarantine quarantine = new PromptQuarantine();

	private static long millis(long value) {
		return TimeUnit.MILLISECONDS.toNanos(value);
	}

	private static CrashEvidence.Crash crash(String server, long atMillis, List<Long> parts) {
		return new CrashEvidence.Crash(server, Set.of(parts), Set.of(), millis(atMillis));
	}

	private void addCrashes(int count, long startMillis, List<Long> parts) {
		for (int i = 0; i < count; i++) {
			this.quarantine.add(crash("s" + startMillis + "-" + i, startMillis + 200L * i, parts));
		}
	}

	// Guards against a part that stays unknown after it has ended three servers, and
	// against a quarantine of the part that sound requests share.
	@Test
	void partOfThreeCrashesIsQuarantined() {
		addCrashes(2, 1000, List.of(FIRST, DEADLY));
		assertThat(this.quarantine.quarantined()).isEmpty();
		this.quarantine.recordServed(new RequestTraits(List.of(FIRST, SHARED), List.of()), millis(1300));
		addCrashes(1, 2000, List.of(FIRST, DEADLY));
		assertThat(this.quarantine.quarantined()).containsOnlyKeys(DEADLY);
		assertThat(this.quarantine.findQuarantined(List.of(99L, DEADLY))).contains(DEADLY);
		assertThat(this.quarantine.findQuarantined(List.of(FIRST, SHARED))).isEmpty();
	}

	// Guards against a quarantine after servers of one rack have ended at the same time.
	@Test
	void simultaneousCrashesCountOnce() {
		for (int i = 0; i < 6; i++) {
			this.quarantine.add(crash("s" + i, 1000 + 10 * i, List.of(FIRST, SHARED)));
		}
		assertThat(this.quarantine.quarantined()).isEmpty();
	}

	// Guards against a request that is sent from server to server in a few milliseconds
	// and counts as one crash.
	@Test
	void crashesByOneRequestCountEach() {
		for (int i = 0; i < 3; i++) {
			this.quarantine.add(new CrashEvidence.Crash("s" + i, Set.of(List.of(FIRST, DEADLY)),
					(i > 0) ? Set.of(FIRST, DEADLY) : Set.of(), millis(1000 + 10 * i)));
		}
		assertThat(this.quarantine.quarantined()).containsOnlyKeys(DEADLY);
	}

	// Guards against a part that is refused for good although its requests are served.
	@Test
	void successAfterLastCrashReleasesPart() {
		addCrashes(3, 1000, List.of(FIRST, DEADLY));
		assertThat(this.quarantine.quarantined()).containsOnlyKeys(DEADLY);
		this.quarantine.recordServed(new RequestTraits(List.of(FIRST, DEADLY), List.of()), millis(1700));
		assertThat(this.quarantine.quarantined()).isEmpty();
	}

	// Guards against the quarantine of a part that many requests share, as one of them is
	// in flight whenever a server ends.
	@Test
	void servedPartNeedsMoreCrashes() {
		this.quarantine.recordServed(new RequestTraits(List.of(FIRST), List.of()), millis(500));
		addCrashes(5, 1000, List.of(FIRST));
		assertThat(this.quarantine.quarantined()).isEmpty();
		addCrashes(1, 3000, List.of(FIRST));
		assertThat(this.quarantine.quarantined()).containsOnlyKeys(FIRST);
	}

	// Guards against a second part that stays in quarantine although the crashes are
	// explained by another one.
	@Test
	void crashThatOnePartExplainsDoesNotCountAgainstOthers() {
		addCrashes(3, 1000, List.of(DEADLY, SHARED));
		assertThat(this.quarantine.quarantined()).as("the more specific one").containsOnlyKeys(SHARED);
		addCrashes(1, 2000, List.of(DEADLY, 77L));
		assertThat(this.quarantine.quarantined()).containsOnlyKeys(DEADLY);
	}

	// Guards against a second deadly part that is overlooked beside the first one.
	@Test
	void twoDeadlyPartsAreFound() {
		this.quarantine.recordServed(new RequestTraits(List.of(FIRST), List.of()), millis(500));
		addCrashes(3, 1000, List.of(FIRST, DEADLY));
		addCrashes(3, 2000, List.of(FIRST, LAST));
		assertThat(this.quarantine.quarantined()).containsOnlyKeys(DEADLY, 77L);
	}

	// Guards against a whole request that comes again and again and is not recognised,
	// because sound requests share all parts of its prompt.
	@Test
	void wholeRequestThatEndsServersIsQuarantined() {
		for (int i = 0; i < 3; i++) {
			this.quarantine.recordServed(new RequestTraits(List.of(FIRST, SHARED), List.of(500L + i)), millis(900 + i));
			this.quarantine.add(new CrashEvidence.Crash("s" + i,
					Set.of(List.of(FIRST, SHARED, LAST, WHOLE), List.of(FIRST, SHARED, 700L + i, 800L + i)), Set.of(),
					millis(1000 + 200L * i)));
		}
		assertThat(this.quarantine.quarantined()).containsOnlyKeys(WHOLE);
	}

	// Guards against requests of one session, no two alike, that are not recognised by
	// the part that they have in common.
	@Test
	void lastPartOfSessionIsQuarantined() {
		for (int i = 0; i < 3; i++) {
			this.quarantine.add(crash("s" + i, 1000 + 200L * i, List.of(FIRST, 40L + i, LAST, 900L + i)));
		}
		assertThat(this.quarantine.quarantined()).containsOnlyKeys(LAST);
	}

	// Guards against the quarantine of a sound request that callers send often, as one is
	// in flight whenever a server ends.
	@Test
	void servedWholeRequestNeedsMoreCrashes() {
		this.quarantine.recordServed(new RequestTraits(List.of(), List.of(WHOLE)), millis(500));
		addCrashes(5, 1000, List.of(WHOLE));
		assertThat(this.quarantine.quarantined()).isEmpty();
	}

	// Guards against memory that grows with the requests that were served, and against a
	// shared part that is forgotten because of them.
	@Test
	void servedRequestsDoNotDisplaceSharedParts() {
		this.quarantine.recordServed(new RequestTraits(List.of(FIRST), List.of()), millis(500));
		for (long i = 0; i < 100_000; i++) {
			this.quarantine.recordServed(new RequestTraits(List.of(), List.of(1_000_000 + i)), millis(600));
		}
		addCrashes(5, 1000, List.of(FIRST));
		assertThat(this.quarantine.quarantined()).isEmpty();
	}

	// Guards against hosts that decide differently because the evidence reached them in
	// another order or more than once.
	@Test
	void decisionDoesNotDependOnOrder() {
		List<CrashEvidence> evidence = new ArrayList<>();
		for (int i = 0; i < 8; i++) {
			evidence.add(crash("s" + i, 1000 + 250 * i, List.of(FIRST, (i % 2 == 0) ? DEADLY : 77L, 100L + i)));
			evidence.add(crash("s" + i, 1000 + 250 * i, List.of(FIRST, SHARED)));
			evidence.add(new CrashEvidence.Success(FIRST, millis(900 + 300 * i)));
		}
		evidence.add(new CrashEvidence.Success(SHARED, millis(2800)));
		Set<Long> expected = Set.of(DEADLY, 77L);
		for (int seed = 0; seed < 50; seed++) {
			List<CrashEvidence> shuffled = new ArrayList<>(evidence);
			Collections.shuffle(shuffled, new Random(seed));
			PromptQuarantine other = new PromptQuarantine();
			shuffled.forEach(other::add);
			shuffled.forEach((one) -> assertThat(other.add(one)).isFalse());
			assertThat(other.quarantined().keySet()).as("seed %d", seed).isEqualTo(expected);
		}
	}

	// Guards against probes that end a server each time more than three times within the
	// first minutes.
	@Test
	void probesBecomeRare() {
		addCrashes(3, 0, List.of(DEADLY));
		int probes = 0;
		for (long now = 1000; now < 240_000; now += 100) {
			if (this.quarantine.timeUntilProbe(DEADLY, millis(now)).isZero()) {
				this.quarantine.recordProbe(DEADLY, millis(now));
				probes++;
				this.quarantine.add(crash("p" + probes, now + 50, List.of(DEADLY)));
			}
		}
		assertThat(probes).isBetween(1, 3);
		assertThat(this.quarantine.timeUntilProbe(99L, millis(1))).isEqualTo(Duration.ZERO);
	}

	// Guards against evidence that needs ever more memory, and against a part in
	// quarantine that is forgotten because many other servers have ended.
	@Test
	void boundsEvidenceAndKeepsQuarantine() {
		addCrashes(3, 1000, List.of(FIRST, DEADLY));
		for (int i = 0; i < 500; i++) {
			this.quarantine.add(crash("other" + i, 10_000 + 200L * i, List.of(1000L + i)));
		}
		assertThat(this.quarantine.evidenceAfter(0, 1000).size()).isLessThanOrEqualTo(64);
		assertThat(this.quarantine.quarantined()).containsOnlyKeys(DEADLY);
	}

	// Guards against a quarantine without end.
	@Test
	void crashesExpire() {
		addCrashes(3, 1000, List.of(FIRST, DEADLY));
		this.quarantine.removeExpired(millis(1000) + TimeUnit.MINUTES.toNanos(9));
		assertThat(this.quarantine.quarantined()).containsOnlyKeys(DEADLY);
		this.quarantine.removeExpired(millis(2000) + TimeUnit.MINUTES.toNanos(10));
		assertThat(this.quarantine.quarantined()).isEmpty();
		assertThat(this.quarantine.digest()).isZero();
	}

	// Guards against a quarantine that lasts only until the rest of a message is read,
	// and
	// ends requests meanwhile.
	@Test
	void decidesAfterAllEvidenceOfMessage() {
		List<CrashEvidence> message = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			message.add(crash("s" + i, 1000 + 200 * i, List.of(FIRST)));
		}
		message.add(new CrashEvidence.Success(FIRST, millis(500)));
		assertThat(this.quarantine.addAll(message)).hasSize(4);
		assertThat(this.quarantine.quarantined()).isEmpty();
	}

}
