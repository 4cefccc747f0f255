package org.celeryhill.state;

import java.time.Duration;

import org.celeryhill.base.FencingToken;
import org.celeryhill.base.HostId;
import org.celeryhill.fake.Fault;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LeaseStoreTests {

	private static final LeaseName NAME = LeaseName.of("group");

	private final StateFixture fixture = new StateFixture();

	private final LeaseStore firstStore = store("host-1");

	private final LeaseStore secondStore = store("host-2");

	/**
	 * Guards against a step of the wall clock that lets a second process acquire a lease
	 * that is still usable.
	 */
	@Test
	void wallClockStepDoesNotExpireLease() {
		Lease lease = acquireLease(this.firstStore);
		assertThat(this.secondStore.acquire(NAME)).isInstanceOf(LeaseStore.HeldBy.class);
		this.fixture.timer.stepWallClock(Duration.ofDays(1));
		assertThat(this.secondStore.acquire(NAME)).isInstanceOf(LeaseStore.HeldBy.class);
		assertThat(lease.isUsable(this.fixture.timer.nanoTime())).isTrue();
	}

	/**
	 * Guards against two processes with a usable lease at the same time, and against a
	 * fencing token that does not grow. The holder stops after two thirds of the lease
	 * duration of 15 s, and another process acquires the lease only after the full
	 * duration.
	 */
	@Test
	void holderStopsUsingLeaseBeforeTakeover() {
		Lease lease = acquireLease(this.firstStore);
		this.secondStore.acquire(NAME);
		this.fixture.advanceSeconds(10);
		assertThat(lease.isUsable(this.fixture.timer.nanoTime())).isFalse();
		assertThat(this.secondStore.acquire(NAME)).isInstanceOf(LeaseStore.HeldBy.class);
		this.fixture.advanceSeconds(5);
		assertThat(acquireLease(this.secondStore).token()).isEqualTo(new FencingToken(2));
		assertThat(this.firstStore.renew(lease)).isInstanceOf(LeaseStore.Lost.class);
	}

	/**
	 * Guards against a lease that stays unused until it expires because the write of its
	 * grant got no response. The next call finds and renews the grant.
	 */
	@Test
	void nextAcquireFindsGrantWithoutResponse() {
		this.fixture.faults.script(StateFixture.TABLE, Fault.NONE, Fault.LOST_ANSWER, Fault.DOWN, Fault.DOWN,
				Fault.DOWN, Fault.DOWN, Fault.DOWN);
		assertThat(this.firstStore.acquire(NAME)).isEqualTo(new StoreUnavailable("down", true));
		assertThat(acquireLease(this.firstStore).token()).isEqualTo(new FencingToken(1));
	}

	/**
	 * Guards against a renewal whose write arrives late, after another process has
	 * acquired the lease, and restores the earlier holder.
	 */
	@Test
	void lateRenewalDoesNotRestoreLostLease() {
		Lease lease = acquireLease(this.firstStore);
		this.secondStore.acquire(NAME);
		this.fixture.faults.script(StateFixture.TABLE, Fault.NONE);
		this.fixture.faults.script(StateFixture.TABLE, Fault.DELAYED_EFFECT, Duration.ofSeconds(30));
		this.fixture.faults.script(StateFixture.TABLE, Fault.DOWN, Fault.DOWN, Fault.DOWN, Fault.DOWN, Fault.DOWN);
		assertThat(this.firstStore.renew(lease)).isInstanceOf(StoreUnavailable.class);
		this.fixture.advanceSeconds(15);
		assertThat(acquireLease(this.secondStore).token()).isEqualTo(new FencingToken(2));
		this.fixture.advanceSeconds(20);
		assertThat(this.firstStore.acquire(NAME)).isInstanceOf(LeaseStore.HeldBy.class);
	}

	/**
	 * Guards against an engine group that has no planner until the lease expires after an
	 * orderly shutdown of its holder.
	 */
	@Test
	void releasedLeaseIsGrantedAtOnce() {
		this.firstStore.release(acquireLease(this.firstStore));
		assertThat(acquireLease(this.secondStore).token()).isEqualTo(new FencingToken(2));
	}

	private LeaseStore store(String host) {
		return LeaseStore.create(this.fixture.writer, this.fixture.timer, HostId.of(host), Duration.ofSeconds(15));
	}

	private static Lease acquireLease(LeaseStore store) {
		return ((LeaseStore.Granted) store.acquire(NAME)).lease();
	}

}
