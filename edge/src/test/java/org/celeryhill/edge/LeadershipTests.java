package org.celeryhill.edge;

import org.celeryhill.platform.FakePlatformStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of who may send commands.
 */
@Timeout(40)
class LeadershipTests {

	private ControlFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new ControlFixture();
	}

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	// Guards against two hosts that send commands, and against turns that follow too
	// closely
	// when a holder falls silent.
	@Test
	void takesOverAfterTheTurn() throws Exception {
		Leadership one = this.fixture.leadership("10.0.0.1:80");
		Leadership two = this.fixture.leadership("10.0.0.2:80");
		this.fixture.until("first holder", one::tick, () -> one.commandLease().isPresent());
		this.fixture.until("holder is known", () -> {
			one.tick();
			two.tick();
		}, () -> two.holder().isPresent());
		assertThat(this.fixture.call(two::isHolder)).isFalse();
		long[] lastCommand = { System.nanoTime() };
		this.fixture.until("second holder", () -> {
			if (one.commandLease().isPresent()) {
				lastCommand[0] = System.nanoTime();
			}
			two.tick();
		}, () -> two.commandLease().isPresent());
		assertThat(System.nanoTime() - lastCommand[0]).isGreaterThan(ControlFixture.TURN.toNanos());
		this.fixture.until("the first one gives up", one::tick, () -> !one.isHolder() && one.holder().isPresent());
	}

	// Guards against commands of a holder that cannot renew its lease, and against a host
	// that waits for its own earlier lease although nobody else held it.
	@Test
	void stopsWithoutTheStoreAndGoesOnWithIt() throws Exception {
		Leadership one = this.fixture.leadership("10.0.0.1:80");
		this.fixture.until("holder", one::tick, () -> one.commandLease().isPresent());
		this.fixture.store.setFault(FakePlatformStore.Fault.BUSY);
		this.fixture.until("lease ends", one::tick, () -> one.commandLease().isEmpty());
		this.fixture.store.setFault(FakePlatformStore.Fault.NONE);
		this.fixture.until("holder again", one::tick, one::isHolder);
		assertThat(this.fixture.call(one::commandLease)).isPresent();
	}

	// Guards against a renewal whose answer is lost and that counts as somebody else's.
	@Test
	void keepsTheLeaseWhenAnswersAreLost() throws Exception {
		Leadership one = this.fixture.leadership("10.0.0.1:80");
		this.fixture.until("holder", one::tick, () -> one.commandLease().isPresent());
		this.fixture.store.setFault(FakePlatformStore.Fault.LOST_RESPONSES);
		for (int i = 0; i < 60; i++) {
			this.fixture.run(one::tick);
			Thread.sleep(20);
		}
		this.fixture.store.setFault(FakePlatformStore.Fault.NONE);
		this.fixture.until("holder", one::tick, () -> one.commandLease().isPresent());
	}

	// Guards against commands after a graceful stop has begun.
	@Test
	void sendsNothingAfterAStop() throws Exception {
		Leadership one = this.fixture.leadership("10.0.0.1:80");
		Leadership two = this.fixture.leadership("10.0.0.2:80");
		this.fixture.until("holder", one::tick, () -> one.commandLease().isPresent());
		long stopped = System.nanoTime();
		this.fixture.run(one::stop);
		assertThat(this.fixture.call(one::commandLease)).isEmpty();
		this.fixture.until("second holder", two::tick, () -> two.commandLease().isPresent());
		assertThat(System.nanoTime() - stopped).isGreaterThan(ControlFixture.TURN.toNanos());
	}

	// Guards against seconds without commands after a restart of the holder, while nobody
	// else can have sent any.
	@Test
	void takesBackTheLeaseOfItsEarlierLife() throws Exception {
		Leadership one = this.fixture.leadership("10.0.0.1:80");
		long since = System.nanoTime();
		this.fixture.until("holder for longer than its turn", one::tick,
				() -> System.nanoTime() - since > 5 * ControlFixture.TURN.toNanos() && one.commandLease().isPresent());
		Leadership next = this.fixture.leadership("10.0.0.1:80");
		long restarted = System.nanoTime();
		this.fixture.until("holder again", next::tick, () -> next.commandLease().isPresent());
		assertThat(System.nanoTime() - restarted).isLessThan(ControlFixture.TURN.toNanos() / 2);
	}

	// Guards against commands right after those of another host, when the host that
	// waited
	// for its turn is started anew.
	@Test
	void waitsForItsTurnAlsoAfterARestart() throws Exception {
		Leadership one = this.fixture.leadership("10.0.0.1:80");
		this.fixture.until("first holder", one::tick, () -> one.commandLease().isPresent());
		long lastCommand = System.nanoTime();
		Leadership two = this.fixture.leadership("10.0.0.2:80");
		this.fixture.until("second holder", two::tick, two::isHolder);
		Leadership next = this.fixture.leadership("10.0.0.2:80");
		this.fixture.until("second holder after its restart", next::tick, () -> next.commandLease().isPresent());
		assertThat(System.nanoTime() - lastCommand).isGreaterThan(2 * ControlFixture.TURN.toNanos() - 100_000_000L);
	}

	// Guards against a host that asks the store for the lease while it hears from the
	// holder, and against one that takes over later than the holder's silence allows.
	@Test
	void leavesTheStoreAloneWhileTheHolderIsHeard() throws Exception {
		Leadership one = this.fixture.leadership("10.0.0.1:80");
		Leadership two = this.fixture.leadership("10.0.0.2:80");
		this.fixture.until("first holder", one::tick, () -> one.commandLease().isPresent());
		this.fixture.run(() -> two.hear(one.written().orElseThrow()));
		int calls = this.fixture.store.callCount();
		long end = System.nanoTime() + 600_000_000L;
		while (System.nanoTime() < end) {
			this.fixture.run(two::tick);
			Thread.sleep(20);
		}
		assertThat(this.fixture.store.callCount()).isEqualTo(calls);
		this.fixture.until("second holder", two::tick, two::isHolder);
	}

}
