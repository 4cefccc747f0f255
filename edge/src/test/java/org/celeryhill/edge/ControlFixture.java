package org.celeryhill.edge;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.HostId;
import org.celeryhill.base.SystemTimerService;
import org.celeryhill.platform.FakePlatformStore;
import org.celeryhill.platform.StoreClient;
import org.celeryhill.platform.StoreTableService;
import org.celeryhill.platform.TestEventLoop;
import org.celeryhill.state.ConditionalWriter;
import org.celeryhill.state.LeaseStore;
import org.celeryhill.state.RetryPolicy;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Test fixture with a store and an event loop, which creates leaderships of hosts that
 * compete for the lease in that store.
 */
final class ControlFixture implements AutoCloseable {

	static final Duration HANDOVER_GAP = Duration.ofMillis(900);

	final FakePlatformStore store;

	final TestEventLoop loop = new TestEventLoop();

	ControlFixture() throws Exception {
		this.store = new FakePlatformStore();
	}

	Leadership createLeadership(String address) {
		AtomicLong count = new AtomicLong();
		return createLeadership(address, () -> AttemptId.of(address + "-" + count.incrementAndGet()));
	}

	Leadership createLeadership(String address, Supplier<AttemptId> attemptIds) {
		ConditionalWriter writer = ConditionalWriter.create(
				StoreTableService.create(StoreClient.create(this.loop.httpClient(), this.store.address())), attemptIds,
				RetryPolicy.immediate());
		LeaseStore leases = LeaseStore.createForSoleProcess(writer, SystemTimerService.create(), HostId.of(address),
				HANDOVER_GAP);
		return new Leadership(this.loop.loop(), leases, new EdgeMetrics(), HANDOVER_GAP, HANDOVER_GAP);
	}

	<T> T callOnLoop(Callable<T> task) throws Exception {
		return this.loop.loop().submit(task).get(5, TimeUnit.SECONDS);
	}

	void runOnLoop(Runnable task) throws Exception {
		callOnLoop(() -> {
			task.run();
			return null;
		});
	}

	// Runs a task on the event loop repeatedly until a condition holds, for at most 10 s.
	void runUntil(String description, Runnable tick, BooleanSupplier condition) throws Exception {
		long end = System.nanoTime() + 10_000_000_000L;
		boolean isMet = false;
		while (!isMet && System.nanoTime() < end) {
			isMet = callOnLoop(() -> {
				tick.run();
				return condition.getAsBoolean();
			});
			Thread.sleep(20);
		}
		assertThat(isMet).as(description).isTrue();
	}

	@Override
	public void close() {
		this.loop.close();
		this.store.close();
	}

}
