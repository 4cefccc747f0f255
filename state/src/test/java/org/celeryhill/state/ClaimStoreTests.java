package org.celeryhill.state;

import java.time.Duration;
import java.util.Map;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.fake.Fault;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ClaimStoreTests {

	private static final OrganisationId CALLER = OrganisationId.of("mill-a");

	private static final StoredOutcome ANSWER = new StoredOutcome(201, Map.of("Content-Type", "text/plain"),
			new byte[] { 1, 2 });

	private final Fixture fixture = new Fixture();

	private final ClaimStore first = store();

	private final ClaimStore second = store();

	/** Guards against a second execution, and against an answer of another request. */
	@Test
	void secondCallerGetsStoredAnswer() {
		ClaimStore.Acquired won = (ClaimStore.Acquired) claim(this.first, "a", "digest", ServingSystem.NEW);
		assertThat(claim(this.second, "b", "digest", ServingSystem.NEW)).isInstanceOf(ClaimStore.Running.class);
		assertThat(this.first.complete(won, ANSWER)).isInstanceOf(ClaimStore.Stored.class);
		assertThat(claim(this.second, "b", "digest", ServingSystem.LEGACY))
			.isEqualTo(new ClaimStore.Finished(ServingSystem.NEW, ANSWER));
		assertThat(claim(this.second, "c", "other", ServingSystem.NEW)).isInstanceOf(ClaimStore.KeyReused.class);
	}

	/** Guards against a key that moves to the other system when the split changes. */
	@Test
	void withdrawnKeyKeepsItsSystem() {
		ClaimStore.Acquired won = (ClaimStore.Acquired) claim(this.first, "a", "digest", ServingSystem.LEGACY);
		this.first.withdraw(won);
		ClaimStore.Acquired again = (ClaimStore.Acquired) claim(this.second, "b", "digest", ServingSystem.NEW);
		assertThat(again.claim().system()).isEqualTo(ServingSystem.LEGACY);
	}

	/** Guards against a call that is run again after its writer died. */
	@Test
	void claimOfDeadWriterBecomesUnknown() {
		claim(this.first, "a", "digest", ServingSystem.NEW);
		assertThat(claim(this.second, "b", "digest", ServingSystem.NEW)).isInstanceOf(ClaimStore.Running.class);
		this.fixture.advance(60);
		assertThat(claim(this.second, "b", "digest", ServingSystem.NEW)).isInstanceOf(ClaimStore.OutcomeUnknown.class);
	}

	/** Guards against a claim that arrives late after its caller was told "not run". */
	@Test
	void abandonedClaimCannotArriveLate() {
		this.fixture.faults.script(Fixture.TABLE, Fault.NONE, Fault.NONE);
		this.fixture.faults.script(Fixture.TABLE, Fault.DELAYED_EFFECT, Duration.ofSeconds(5));
		this.fixture.faults.script(Fixture.TABLE, Fault.DOWN, Fault.DOWN, Fault.DOWN, Fault.DOWN, Fault.DOWN);
		assertThat(claim(this.first, "a", "digest", ServingSystem.NEW)).isEqualTo(new StoreUnavailable("down", true));
		assertThat(this.first.abandon(CALLER, "key", AttemptId.of("a"), "digest", ServingSystem.NEW))
			.isInstanceOf(ClaimStore.Stored.class);
		this.fixture.advance(10);
		assertThat(claim(this.second, "b", "digest", ServingSystem.NEW)).isInstanceOf(ClaimStore.Acquired.class);
	}

	/** Guards against a claim that is won twice by one attempt and then sent twice. */
	@Test
	void attemptWinsOnce() {
		assertThat(claim(this.first, "a", "digest", ServingSystem.NEW)).isInstanceOf(ClaimStore.Acquired.class);
		assertThat(claim(this.first, "a", "digest", ServingSystem.NEW)).isInstanceOf(ClaimStore.Running.class);
	}

	/**
	 * Guards against a clock step that deletes a fresh claim, and against a full table.
	 */
	@Test
	void onlyTimeCollectsClaims() {
		ClaimStore.Acquired won = (ClaimStore.Acquired) claim(this.first, "a", "digest", ServingSystem.NEW);
		this.first.complete(won, ANSWER);
		this.second.collectExpired();
		this.fixture.timer.stepWallClock(Duration.ofDays(400));
		assertThat(this.second.collectExpired()).isEqualTo(new ClaimStore.Collected(0));
		int deleted = 0;
		for (int hour = 0; hour < 30; hour++) {
			this.fixture.advance(3600);
			deleted += ((ClaimStore.Collected) this.second.collectExpired()).count();
			assertThat(deleted).isEqualTo((hour < 25) ? 0 : 1);
		}
	}

	private ClaimStore.ClaimResult claim(ClaimStore store, String attempt, String digest, ServingSystem system) {
		return store.claim(CALLER, "key", AttemptId.of(attempt), digest, system);
	}

	private ClaimStore store() {
		return ClaimStore.create(this.fixture.writer, this.fixture.timer, ClaimPolicy.DEFAULT);
	}

}
