package org.celeryhill.state;

import java.time.Duration;

import org.celeryhill.base.FencingToken;
import org.celeryhill.base.HostId;
import org.celeryhill.fake.Fault;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LeaseStoreTests {

	private static final LeaseName NAME = LeaseName.of("group");

	private final Fixture fixture = new Fixture();

	private final LeaseStore first = store("host-1");

	private final LeaseStore second = store("host-2");

	/** Guards against a clock step that grants a lease twice. */
	@Test
	void clockStepDoesNotExpireLease() {
		Lease lease = granted(this.first);
		assertThat(this.second.acquire(NAME)).isInstanceOf(LeaseStore.HeldBy.class);
		this.fixture.timer.stepWallClock(Duration.ofDays(1));
		assertThat(this.second.acquire(NAME)).isInstanceOf(LeaseStore.HeldBy.class);
		assertThat(lease.isUsable(this.fixture.timer.nanoTime())).isTrue();
	}

	/** Guards against two usable leases, and against a token that does not grow. */
	@Test
	void holderStopsBeforeTakeover() {
		Lease lease = granted(this.first);
		this.second.acquire(NAME);
		this.fixture.advance(10);
		assertThat(lease.isUsable(this.fixture.timer.nanoTime())).isFalse();
		assertThat(this.second.acquire(NAME)).isInstanceOf(LeaseStore.HeldBy.class);
		this.fixture.advance(5);
		assertThat(granted(this.second).token()).isEqualTo(new FencingToken(2));
		assertThat(this.first.renew(lease)).isInstanceOf(LeaseStore.Lost.class);
	}

	/** Guards against a grant without an answer that nobody uses until it expires. */
	@Test
	void lateGrantIsFound() {
		this.fixture.faults.script(Fixture.TABLE, Fault.NONE, Fault.LOST_ANSWER, Fault.DOWN, Fault.DOWN, Fault.DOWN,
				Fault.DOWN, Fault.DOWN);
		assertThat(this.first.acquire(NAME)).isEqualTo(new StoreUnavailable("down", true));
		assertThat(granted(this.first).token()).isEqualTo(new FencingToken(1));
	}

	/** Guards against a renewal that arrives late and revives a lost lease. */
	@Test
	void lateRenewalDoesNotReviveLease() {
		Lease lease = granted(this.first);
		this.second.acquire(NAME);
		this.fixture.faults.script(Fixture.TABLE, Fault.NONE);
		this.fixture.faults.script(Fixture.TABLE, Fault.DELAYED_EFFECT, Duration.ofSeconds(30));
		this.fixture.faults.script(Fixture.TABLE, Fault.DOWN, Fault.DOWN, Fault.DOWN, Fault.DOWN, Fault.DOWN);
		assertThat(this.first.renew(lease)).isInstanceOf(StoreUnavailable.class);
		this.fixture.advance(15);
		assertThat(granted(this.second).token()).isEqualTo(new FencingToken(2));
		this.fixture.advance(20);
		assertThat(this.first.acquire(NAME)).isInstanceOf(LeaseStore.HeldBy.class);
	}

	/** Guards against a graceful shutdown that leaves a group without a planner. */
	@Test
	void releasedLeaseIsGrantedAtOnce() {
		this.first.release(granted(this.first));
		assertThat(granted(this.second).token()).isEqualTo(new FencingToken(2));
	}

	private LeaseStore store(String host) {
		return LeaseStore.create(this.fixture.writer, this.fixture.timer, HostId.of(host), Duration.ofSeconds(15));
	}

	private static Lease granted(LeaseStore store) {
		return ((LeaseStore.Granted) store.acquire(NAME)).lease();
	}

}
