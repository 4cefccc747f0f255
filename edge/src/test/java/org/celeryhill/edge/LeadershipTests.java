package org.celeryhill.edge;

import java.util.concurrent.atomic.AtomicInteger;

import org.celeryhill.base.AttemptId;
import org.celeryhill.platform.FakePlatformStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the placement lease: which host may send commands, and from when on.
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

	// Guards against two hosts that send commands at the same time, and against commands
	// of a new holder too soon after those of a holder that stopped renewing its lease.
	@Test
	void sendsCommandsOnlyAfterHandoverGap() throws Exception {
		Leadership first = this.fixture.createLeadership("10.0.0.1:80");
		Leadership second = this.fixture.createLeadership("10.0.0.2:80");
		this.fixture.runUntil("first holder", first::tick, () -> first.commandLease().isPresent());
		this.fixture.runUntil("the holder is known", () -> {
			first.tick();
			second.tick();
		}, () -> second.holder().isPresent());
		assertThat(this.fixture.callOnLoop(second::isHolder)).isFalse();
		long[] lastCommand = { System.nanoTime() };
		this.fixture.runUntil("second holder", () -> {
			if (first.commandLease().isPresent()) {
				lastCommand[0] = System.nanoTime();
			}
			second.tick();
		}, () -> second.commandLease().isPresent());
		assertThat(System.nanoTime() - lastCommand[0]).isGreaterThan(ControlFixture.HANDOVER_GAP.toNanos());
		this.fixture.runUntil("the first holder loses the lease", first::tick,
				() -> !first.isHolder() && first.holder().isPresent());
	}

	// Guards against commands of a holder that cannot renew its lease, and against a
	// renewed wait after it acquires the lease again, which no other host held meanwhile.
	@Test
	void stopsCommandsWithoutStoreAndResumesWithIt() throws Exception {
		Leadership first = this.fixture.createLeadership("10.0.0.1:80");
		this.fixture.runUntil("holder", first::tick, () -> first.commandLease().isPresent());
		this.fixture.store.setFault(FakePlatformStore.Fault.BUSY);
		this.fixture.runUntil("the lease expires", first::tick, () -> first.commandLease().isEmpty());
		this.fixture.store.setFault(FakePlatformStore.Fault.NONE);
		this.fixture.runUntil("holder again", first::tick, first::isHolder);
		assertThat(this.fixture.callOnLoop(first::commandLease)).isPresent();
	}

	// Guards against a renewal that is taken for one of another host because its response
	// was lost.
	@Test
	void keepsLeaseWhenStoreResponsesAreLost() throws Exception {
		Leadership first = this.fixture.createLeadership("10.0.0.1:80");
		this.fixture.runUntil("holder", first::tick, () -> first.commandLease().isPresent());
		this.fixture.store.setFault(FakePlatformStore.Fault.LOST_RESPONSES);
		for (int i = 0; i < 60; i++) {
			this.fixture.runOnLoop(first::tick);
			Thread.sleep(20);
		}
		this.fixture.store.setFault(FakePlatformStore.Fault.NONE);
		this.fixture.runUntil("holder", first::tick, () -> first.commandLease().isPresent());
	}

	// Guards against commands after the start of a graceful stop.
	@Test
	void sendsNoCommandsAfterStop() throws Exception {
		Leadership first = this.fixture.createLeadership("10.0.0.1:80");
		Leadership second = this.fixture.createLeadership("10.0.0.2:80");
		this.fixture.runUntil("holder", first::tick, () -> first.commandLease().isPresent());
		long stopped = System.nanoTime();
		this.fixture.runOnLoop(first::stop);
		assertThat(this.fixture.callOnLoop(first::commandLease)).isEmpty();
		this.fixture.runUntil("second holder", second::tick, () -> second.commandLease().isPresent());
		assertThat(System.nanoTime() - stopped).isGreaterThan(ControlFixture.HANDOVER_GAP.toNanos());
	}

	// Guards against seconds without commands after a restart of the holder, although no
	// other host can have sent any.
	@Test
	void sendsCommandsSoonAfterRestartOfHolder() throws Exception {
		Leadership first = this.fixture.createLeadership("10.0.0.1:80");
		long since = System.nanoTime();
		this.fixture.runUntil("holder for longer than its turn", first::tick,
				() -> System.nanoTime() - since > 5 * ControlFixture.HANDOVER_GAP.toNanos()
						&& first.commandLease().isPresent());
		Leadership restartedHost = this.fixture.createLeadership("10.0.0.1:80");
		long restarted = System.nanoTime();
		this.fixture.runUntil("holder again", restartedHost::tick, () -> restartedHost.commandLease().isPresent());
		assertThat(System.nanoTime() - restarted).isLessThan(ControlFixture.HANDOVER_GAP.toNanos() / 2);
	}

	// Guards against commands too soon after those of another host when the new holder is
	// restarted during its wait.
	@Test
	void waitsForHandoverGapAfterRestart() throws Exception {
		Leadership first = this.fixture.createLeadership("10.0.0.1:80");
		this.fixture.runUntil("first holder", first::tick, () -> first.commandLease().isPresent());
		long lastCommand = System.nanoTime();
		Leadership second = this.fixture.createLeadership("10.0.0.2:80");
		this.fixture.runUntil("second holder", second::tick, second::isHolder);
		Leadership restartedHost = this.fixture.createLeadership("10.0.0.2:80");
		this.fixture.runUntil("second holder after its restart", restartedHost::tick,
				() -> restartedHost.commandLease().isPresent());
		assertThat(System.nanoTime() - lastCommand)
			.isGreaterThan(2 * ControlFixture.HANDOVER_GAP.toNanos() - 100_000_000L);
	}

	// Guards against a host that tries to acquire the lease from the store while the
	// holder responds, and against one that does not take over once the holder is silent.
	@Test
	void doesNotCallStoreWhileHolderResponds() throws Exception {
		Leadership first = this.fixture.createLeadership("10.0.0.1:80");
		Leadership second = this.fixture.createLeadership("10.0.0.2:80");
		this.fixture.runUntil("first holder", first::tick, () -> first.commandLease().isPresent());
		this.fixture.runOnLoop(() -> second.recordHolderResponse(first.lastWrittenRecord().orElseThrow()));
		int calls = this.fixture.store.callCount();
		long end = System.nanoTime() + 600_000_000L;
		while (System.nanoTime() < end) {
			this.fixture.runOnLoop(second::tick);
			Thread.sleep(20);
		}
		assertThat(this.fixture.store.callCount()).isEqualTo(calls);
		this.fixture.runUntil("second holder", second::tick, second::isHolder);
	}

	// Guards against a host that never asks for the lease again after one call that
	// failed in an unexpected way.
	@Test
	void callThatFailsUnexpectedlyDoesNotEndLeadership() throws Exception {
		AtomicInteger count = new AtomicInteger();
		Leadership first = this.fixture.createLeadership("10.0.0.1:80", () -> {
			if (count.incrementAndGet() % 3 == 0) {
				throw new IllegalStateException("no id");
			}
			return AttemptId.of("first-" + count.get());
		});
		this.fixture.runUntil("holder", first::tick, first::isHolder);
		this.fixture.runUntil("three renewals", first::tick, () -> count.get() > 6 && first.isHolder());
	}

}
