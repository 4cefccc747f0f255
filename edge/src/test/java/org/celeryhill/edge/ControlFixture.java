package org.celeryhill.edge;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

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
 * A store and the leadership of hosts at it.
 */
final class ControlFixture implements AutoCloseable {

	static final Duration TURN = Duration.ofMillis(900);

	final FakePlatformStore store;

	final TestEventLoop loop = new TestEventLoop();

	ControlFixture() throws Exception {
		this.store = new FakePlatformStore();
	}

	Leadership leadership(String address) {
		AtomicLong count = new AtomicLong();
		ConditionalWriter writer = ConditionalWriter.create(
				StoreTableService.create(StoreClient.create(this.loop.httpClient(), this.store.address())),
				() -> AttemptId.of(address + "-" + count.incrementAndGet()), RetryPolicy.immediate());
		LeaseStore leases = LeaseStore.createForSoleProcess(writer, SystemTimerService.create(), HostId.of(address),
				TURN);
		return new Leadership(this.loop.loop(), leases, new EdgeMetrics(), TURN, TURN);
	}

	<T> T call(Callable<T> task) throws Exception {
		return this.loop.loop().submit(task).get(5, TimeUnit.SECONDS);
	}

	void run(Runnable task) throws Exception {
		call(() -> {
			task.run();
			return null;
		});
	}

	// Runs a task on the loop again and again until a condition holds there.
	void until(String what, Runnable tick, BooleanSupplier condition) throws Exception {
		long end = System.nanoTime() + 10_000_000_000L;
		boolean isMet = false;
		while (!isMet && System.nanoTime() < end) {
			isMet = call(() -> {
				tick.run();
				return condition.getAsBoolean();
			});
			Thread.sleep(20);
		}
		assertThat(isMet).as(what).isTrue();
	}

	@Override
	public void close() {
		this.loop.close();
		this.store.close();
	}

}
