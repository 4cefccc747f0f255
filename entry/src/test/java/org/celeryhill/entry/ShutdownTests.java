package org.celeryhill.entry;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.celeryhill.base.HostId;
import org.celeryhill.fake.FakeTableService;
import org.celeryhill.state.AttemptIds;
import org.celeryhill.state.ConditionalWriter;
import org.celeryhill.state.PlannedStop;
import org.celeryhill.state.PlannedStopStore;
import org.celeryhill.state.RetryPolicy;
import org.celeryhill.state.StopTarget;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of graceful shutdown.
 */
class ShutdownTests {

	private final TestWorld world = new TestWorld(100);

	@AfterEach
	void close() {
		this.world.close();
	}

	/** Guards against streams that a shutdown cuts although they end in time. */
	@Test
	void runningStreamFinishes() {
		EntryDaemon daemon = this.world.daemon("entry-1");
		TestCaller caller = new TestCaller(daemon, TestWorld.KEY_A);
		TestCaller.EventStream stream = caller.stream(TestCaller.body(150, true)).read(5);
		CompletableFuture<Boolean> stop = CompletableFuture.supplyAsync(daemon::stop);
		assertThat(stream.readAll().isWhole()).isTrue();
		assertThat(stop.join()).isTrue();
	}

	/** Guards against a silent cut of a stream that outlasts the drain timeout. */
	@Test
	void longStreamIsHandedOver() {
		EntryDaemon daemon = this.world.daemon("entry-1", "--drain-timeout=PT0.2S");
		TestCaller second = new TestCaller(this.world.daemon("entry-2"), TestWorld.KEY_A);
		TestCaller.EventStream stream = new TestCaller(daemon, TestWorld.KEY_A).stream(TestCaller.body(600, true))
			.read(5);
		CompletableFuture<Boolean> stop = CompletableFuture.supplyAsync(daemon::stop);
		stream.readAll();
		assertThat(stream.last().type()).isEqualTo("handover");
		TestCaller.EventStream rest = second.stream(null, "Last-Event-ID", stream.lastId()).readAll();
		assertThat(stream.text() + rest.text()).isEqualTo(TestCaller.expected(600));
		assertThat(stop.join()).isFalse();
	}

	/** Guards against a claimed call that is cut off and then stays unknown. */
	@Test
	void claimInProgressIsFinishedAndStored() {
		EntryDaemon daemon = this.world.daemon("entry-1", "--drain-timeout=PT0.1S");
		TestCaller second = new TestCaller(this.world.daemon("entry-2"), TestWorld.KEY_A);
		this.world.services.values().forEach((one) -> one.setCallTime(Duration.ofMillis(600)));
		TestCaller first = new TestCaller(daemon, TestWorld.KEY_A);
		CompletableFuture<HttpResponse<String>> booking = CompletableFuture
			.supplyAsync(() -> first.post("/v1/services/dispatch/bookings", "{}", "Idempotency-Key", "s1"));
		TestWorld.await(() -> daemon.claims().heldClaims() > 0);
		daemon.stop();
		assertThat(booking.join().statusCode()).isEqualTo(200);
		HttpResponse<String> again = second.post("/v1/services/dispatch/bookings", "{}", "Idempotency-Key", "s1");
		assertThat(again.headers().firstValue("Idempotency-Replayed")).hasValue("true");
		assertThat(this.world.bookings("s1")).isEqualTo(1);
	}

	/** Guards against requests that are admitted while the daemon stops. */
	@Test
	void newRequestsAreRefusedDuringDrain() {
		EntryDaemon daemon = this.world.daemon("entry-1");
		TestCaller caller = new TestCaller(daemon, TestWorld.KEY_A);
		TestCaller.EventStream stream = caller.stream(TestCaller.body(300, true)).read(5);
		// The stream outlasts the wait for the refusal, however late that is seen.
		this.world.engines.values().forEach((engine) -> engine.setSlowdown(100));
		CompletableFuture<Boolean> stop = CompletableFuture.supplyAsync(daemon::stop);
		TestWorld.await(() -> caller.get("/v1/models").statusCode() == 503);
		assertThat(daemon.isReady()).isFalse();
		this.world.engines.values().forEach((engine) -> engine.setSlowdown(1));
		assertThat(stream.readAll().isWhole()).isTrue();
		stop.join();
	}

	/** Guards against a planned stop that the daemon ignores or never reports as done. */
	@Test
	void plannedStopOfHostIsFollowed() {
		EntryDaemon daemon = this.world.daemon("entry-1");
		PlannedStopStore stops = PlannedStopStore.create(
				ConditionalWriter.create(this.world.table, AttemptIds.random(), RetryPolicy.immediate()),
				this.world.timer);
		StopTarget target = StopTarget.entryHost(HostId.of("entry-1"));
		stops.announce(target, "test", "maintenance");
		TestWorld.await(() -> !daemon.isReady());
		TestWorld.await(() -> stops.find(target) instanceof PlannedStopStore.StoredStop stop
				&& stop.stop().state() == PlannedStop.State.DONE);
		this.world.faults.setDown(FakeTableService.TARGET, true);
		TestWorld.sleep(Duration.ofMillis(300));
		assertThat(daemon.isReady()).as("a stop stays in force while the store is away").isFalse();
	}

}
