package org.celeryhill.state;

import java.time.Duration;
import java.util.Map;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.fake.Fault;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ClaimStoreTests {

	private static final OrganisationId ORGANISATION = OrganisationId.of("mill-a");

	private static final StoredOutcome RESPONSE = new StoredOutcome(201, Map.of("Content-Type", "text/plain"),
			new byte[] { 1, 2 });

	private final StateFixture fixture = new StateFixture();

	private final ClaimStore firstStore = store();

	private final ClaimStore secondStore = store();

	/**
	 * Guards against a second execution of a call, and against the response to another
	 * request. A second caller with the same key waits, then gets the stored response.
	 */
	@Test
	void secondCallerGetsStoredResponse() {
		ClaimStore.Acquired acquired = (ClaimStore.Acquired) claim(this.firstStore, "a", "digest", ServingSystem.NEW);
		assertThat(claim(this.secondStore, "b", "digest", ServingSystem.NEW)).isInstanceOf(ClaimStore.Running.class);
		assertThat(this.firstStore.complete(acquired, RESPONSE)).isInstanceOf(ClaimStore.Stored.class);
		assertThat(claim(this.secondStore, "b", "digest", ServingSystem.LEGACY))
			.isEqualTo(new ClaimStore.Finished(ServingSystem.NEW, RESPONSE));
		assertThat(claim(this.secondStore, "c", "other", ServingSystem.NEW)).isInstanceOf(ClaimStore.KeyReused.class);
	}

	/**
	 * Guards against a key that moves to the other serving system when the traffic split
	 * changes after its first claim was withdrawn.
	 */
	@Test
	void reclaimedKeyKeepsServingSystem() {
		ClaimStore.Acquired acquired = (ClaimStore.Acquired) claim(this.firstStore, "a", "digest",
				ServingSystem.LEGACY);
		this.firstStore.withdraw(acquired);
		ClaimStore.Acquired reacquired = (ClaimStore.Acquired) claim(this.secondStore, "b", "digest",
				ServingSystem.NEW);
		assertThat(reacquired.claim().system()).isEqualTo(ServingSystem.LEGACY);
	}

	/**
	 * Guards against a second execution after the process that claimed the key crashed.
	 * Other callers get an unknown outcome after the claim timeout of 60 s.
	 */
	@Test
	void claimOfCrashedProcessTimesOutAsUnknown() {
		claim(this.firstStore, "a", "digest", ServingSystem.NEW);
		assertThat(claim(this.secondStore, "b", "digest", ServingSystem.NEW)).isInstanceOf(ClaimStore.Running.class);
		this.fixture.advanceSeconds(60);
		assertThat(claim(this.secondStore, "b", "digest", ServingSystem.NEW))
			.isInstanceOf(ClaimStore.OutcomeUnknown.class);
	}

	/**
	 * Guards against a claim whose write arrives late, after its caller was told that the
	 * call was not executed. The write gets no response, the claim is abandoned, and the
	 * key can then be claimed by another caller.
	 */
	@Test
	void lateWriteOfAbandonedClaimHasNoEffect() {
		this.fixture.faults.script(StateFixture.TABLE, Fault.NONE, Fault.NONE);
		this.fixture.faults.script(StateFixture.TABLE, Fault.DELAYED_EFFECT, Duration.ofSeconds(5));
		this.fixture.faults.script(StateFixture.TABLE, Fault.DOWN, Fault.DOWN, Fault.DOWN, Fault.DOWN, Fault.DOWN);
		assertThat(claim(this.firstStore, "a", "digest", ServingSystem.NEW))
			.isEqualTo(new StoreUnavailable("down", true));
		assertThat(this.firstStore.abandon(ORGANISATION, "key", AttemptId.of("a"), "digest", ServingSystem.NEW))
			.isInstanceOf(ClaimStore.Stored.class);
		this.fixture.advanceSeconds(10);
		assertThat(claim(this.secondStore, "b", "digest", ServingSystem.NEW)).isInstanceOf(ClaimStore.Acquired.class);
	}

	/**
	 * Guards against a call that is sent although its caller was told that it was not
	 * run, as its attempt claims the key again after it was abandoned.
	 */
	@Test
	void abandonedAttemptDoesNotAcquireClaim() {
		this.firstStore.abandon(ORGANISATION, "key", AttemptId.of("a"), "digest", ServingSystem.NEW);
		assertThat(claim(this.firstStore, "a", "digest", ServingSystem.NEW)).isInstanceOf(StoreUnavailable.class);
		assertThat(claim(this.secondStore, "b", "digest", ServingSystem.NEW)).isInstanceOf(ClaimStore.Acquired.class);
	}

	/**
	 * Guards against a call that is sent twice because one attempt acquires its claim
	 * twice.
	 */
	@Test
	void attemptAcquiresClaimOnce() {
		assertThat(claim(this.firstStore, "a", "digest", ServingSystem.NEW)).isInstanceOf(ClaimStore.Acquired.class);
		assertThat(claim(this.firstStore, "a", "digest", ServingSystem.NEW)).isInstanceOf(ClaimStore.Running.class);
	}

	/**
	 * Guards against a step of the wall clock that deletes a recent claim, and against a
	 * table that grows without bound. Claims are deleted after 26 hourly epochs of
	 * elapsed time.
	 */
	@Test
	void claimsExpireByElapsedTimeOnly() {
		ClaimStore.Acquired acquired = (ClaimStore.Acquired) claim(this.firstStore, "a", "digest", ServingSystem.NEW);
		this.firstStore.complete(acquired, RESPONSE);
		this.secondStore.collectExpired();
		this.fixture.timer.stepWallClock(Duration.ofDays(400));
		assertThat(this.secondStore.collectExpired()).isEqualTo(new ClaimStore.Collected(0));
		int deleted = 0;
		for (int hour = 0; hour < 30; hour++) {
			this.fixture.advanceSeconds(3600);
			deleted += ((ClaimStore.Collected) this.secondStore.collectExpired()).count();
			assertThat(deleted).isEqualTo((hour < 25) ? 0 : 1);
		}
	}

	private ClaimStore.ClaimResult claim(ClaimStore store, String attempt, String digest, ServingSystem system) {
		return store.claim(ORGANISATION, "key", AttemptId.of(attempt), digest, system);
	}

	private ClaimStore store() {
		return ClaimStore.create(this.fixture.writer, this.fixture.timer, ClaimPolicy.DEFAULT);
	}

}
