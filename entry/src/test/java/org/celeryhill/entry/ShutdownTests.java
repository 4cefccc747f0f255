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

	private final TestEnvironment environment = new TestEnvironment(100);

	@AfterEach
	void close() {
		this.environment.close();
	}

	/**
	 * Guards against a shutdown that interrupts a stream which ends within the drain
	 * timeout.
	 */
	@Test
	void runningStreamCompletesDuringDrain() {
		EntryDaemon daemon = this.environment.startDaemon("entry-1");
		TestCaller caller = new TestCaller(daemon, TestEnvironment.API_KEY_A);
		TestCaller.EventStream stream = caller.openStream(TestCaller.body(150, true)).readEvents(5);
		CompletableFuture<Boolean> stop = CompletableFuture.supplyAsync(daemon::stop);
		assertThat(stream.readAll().isComplete()).isTrue();
		assertThat(stop.join()).isTrue();
	}

	/** Guards against a stream that exceeds the drain timeout and cannot be resumed. */
	@Test
	void longStreamIsHandedOver() {
		EntryDaemon daemon = this.environment.startDaemon("entry-1", "--drain-timeout=PT0.2S");
		TestCaller second = new TestCaller(this.environment.startDaemon("entry-2"), TestEnvironment.API_KEY_A);
		TestCaller.EventStream stream = new TestCaller(daemon, TestEnvironment.API_KEY_A)
			.openStream(TestCaller.body(600, true))
			.readEvents(5);
		CompletableFuture<Boolean> stop = CompletableFuture.supplyAsync(daemon::stop);
		stream.readAll();
		assertThat(stream.last().type()).isEqualTo("handover");
		TestCaller.EventStream rest = second.openStream(null, "Last-Event-ID", stream.lastEventId()).readAll();
		assertThat(stream.text() + rest.text()).isEqualTo(TestCaller.expectedText(600));
		assertThat(stop.join()).isFalse();
	}

	/**
	 * Guards against a claimed call that is aborted by the shutdown, so that its outcome
	 * stays unknown.
	 */
	@Test
	void claimedCallIsCompletedAndStored() {
		EntryDaemon daemon = this.environment.startDaemon("entry-1", "--drain-timeout=PT0.1S");
		TestCaller second = new TestCaller(this.environment.startDaemon("entry-2"), TestEnvironment.API_KEY_A);
		this.environment.services.values().forEach((one) -> one.setCallTime(Duration.ofMillis(600)));
		TestCaller first = new TestCaller(daemon, TestEnvironment.API_KEY_A);
		CompletableFuture<HttpResponse<String>> booking = CompletableFuture
			.supplyAsync(() -> first.post("/v1/services/dispatch/bookings", "{}", "Idempotency-Key", "s1"));
		TestEnvironment.await(() -> daemon.claimedCalls().heldClaims() > 0);
		daemon.stop();
		assertThat(booking.join().statusCode()).isEqualTo(200);
		HttpResponse<String> again = second.post("/v1/services/dispatch/bookings", "{}", "Idempotency-Key", "s1");
		assertThat(again.headers().firstValue("Idempotency-Replayed")).hasValue("true");
		assertThat(this.environment.countExecutions("s1")).isEqualTo(1);
	}

	/** Guards against admitting requests while the daemon waits for its open requests. */
	@Test
	void newRequestsAreRefusedDuringDrain() {
		EntryDaemon daemon = this.environment.startDaemon("entry-1");
		TestCaller caller = new TestCaller(daemon, TestEnvironment.API_KEY_A);
		TestCaller.EventStream stream = caller.openStream(TestCaller.body(300, true)).readEvents(5);
		// Slows the stream down, so that it is still open whenever the refusal is seen.
		this.environment.engines.values().forEach((engine) -> engine.setSlowdown(100));
		CompletableFuture<Boolean> stop = CompletableFuture.supplyAsync(daemon::stop);
		TestEnvironment.await(() -> caller.get("/v1/models").statusCode() == 503);
		assertThat(daemon.isReady()).isFalse();
		this.environment.engines.values().forEach((engine) -> engine.setSlowdown(1));
		assertThat(stream.readAll().isComplete()).isTrue();
		stop.join();
	}

	/**
	 * Guards against a planned stop of a host that its daemon ignores, never reports as
	 * done, or drops while the store is unavailable.
	 */
	@Test
	void plannedStopOfHostIsAppliedAndReportedDone() {
		EntryDaemon daemon = this.environment.startDaemon("entry-1");
		PlannedStopStore stops = PlannedStopStore.create(
				ConditionalWriter.create(this.environment.table, AttemptIds.random(), RetryPolicy.immediate()),
				this.environment.timer);
		StopTarget target = StopTarget.entryHost(HostId.of("entry-1"));
		stops.announce(target, "test", "maintenance");
		TestEnvironment.await(() -> !daemon.isReady());
		TestEnvironment.await(() -> stops.find(target) instanceof PlannedStopStore.StoredStop stop
				&& stop.stop().state() == PlannedStop.State.DONE);
		this.environment.faults.setDown(FakeTableService.TARGET, true);
		TestEnvironment.sleep(Duration.ofMillis(300));
		assertThat(daemon.isReady()).as("a planned stop stays in force while the store is unavailable").isFalse();
	}

}
