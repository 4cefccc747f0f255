package org.celeryhill.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.PriorityClass;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the load pattern in which servers are full and ask for no requests for some
 * time.
 */
class FullServerTests {

	private static final int REQUESTS = 20;

	private final TrafficFixture fixture = new TrafficFixture(1, TrafficTunables.DEFAULTS, "a");

	private void reportEngines(String... ids) {
		for (String id : ids) {
			this.fixture.engine(id, TrafficFixture.LOCAL_DATA_CENTRE, 200, false, TrafficFixture.MODEL);
		}
	}

	private void pause(String id, long millis) {
		this.fixture.controller.pauseBackend(BackendServerId.of(id), Duration.ofMillis(millis), this.fixture.now);
	}

	private void offer(PriorityClass priority) {
		assertThat(this.fixture.controller.offer(this.fixture.request("a", priority), this.fixture.now)).isEmpty();
	}

	private List<String> sendAll() {
		List<String> servers = new ArrayList<>();
		for (int i = 0; i < REQUESTS; i++) {
			offer(PriorityClass.NORMAL);
			this.fixture.dispatchSends().forEach((send) -> {
				servers.add(send.backend().value());
				this.fixture.controller.finish(send.attempt(), AttemptOutcome.COMPLETED, this.fixture.now);
			});
			this.fixture.advance(20);
		}
		return servers;
	}

	/** Guards against requests to a server during its pause, and none after it. */
	@Test
	void pausedServerGetsNoRequests() {
		reportEngines("e1", "e2");
		pause("e1", 2000);
		assertThat(sendAll()).hasSize(REQUESTS).containsOnly("e2");
		reportEngines("e1");
		assertThat(sendAll()).as("after its next report").hasSize(REQUESTS).containsOnly("e2");
		this.fixture.advance(1300);
		assertThat(sendAll()).hasSize(REQUESTS).contains("e1");
	}

	/** Guards against a pause that a shorter one ends. */
	@Test
	void longestPauseCounts() {
		reportEngines("e1", "e2");
		pause("e1", 2000);
		pause("e1", 100);
		this.fixture.advance(1000);
		assertThat(sendAll()).containsOnly("e2");
	}

	/** Guards against a restarted server that gets no requests. */
	@Test
	void restartEndsPause() {
		reportEngines("e1");
		pause("e1", 2000);
		this.fixture.restartedEngine("e1", TrafficFixture.LOCAL_DATA_CENTRE, 200, TrafficFixture.MODEL);
		assertThat(sendAll()).hasSize(REQUESTS);
	}

	/**
	 * Guards against requests that wait until their deadline for servers that are all
	 * full, and against a wrong time to come back.
	 */
	@Test
	void requestIsRefusedAtOnceIfAllServersArePaused() {
		reportEngines("e1", "e2");
		offer(PriorityClass.URGENT);
		assertThat(this.fixture.dispatchSends()).hasSize(1);
		pause("e1", 1500);
		pause("e2", 900);
		offer(PriorityClass.URGENT);
		List<TrafficAction> actions = this.fixture.controller.dispatch(this.fixture.now);
		assertThat(actions).singleElement().isInstanceOfSatisfying(TrafficAction.Refuse.class, (refuse) -> {
			assertThat(refuse.reason()).isEqualTo(TrafficAction.Reason.NO_BACKEND);
			assertThat(refuse.retryAfter()).isEqualTo(Duration.ofMillis(900));
		});
	}

	/** Guards against the refusal of a request that can wait for the end of a pause. */
	@Test
	void requestWaitsForShortPause() {
		reportEngines("e1");
		pause("e1", 500);
		offer(PriorityClass.NORMAL);
		assertThat(this.fixture.controller.dispatch(this.fixture.now)).isEmpty();
		this.fixture.advance(510);
		assertThat(this.fixture.dispatchSends()).hasSize(1);
	}

	/**
	 * Guards against a request that waits for the server that turned it away, to which it
	 * is not sent again.
	 */
	@Test
	void requestThatWasTurnedAwayIsNotHeld() {
		reportEngines("e1");
		TrafficRequest request = this.fixture.request("a", PriorityClass.NORMAL);
		this.fixture.controller.offer(request, this.fixture.now);
		TrafficAction.Send send = this.fixture.dispatchSends().get(0);
		pause("e1", 300);
		this.fixture.controller.finish(send.attempt(), AttemptOutcome.REFUSED, this.fixture.now);
		this.fixture.controller.reroute(request, send.attempt(), this.fixture.now);
		assertThat(this.fixture.controller.dispatch(this.fixture.now)).singleElement()
			.isInstanceOfSatisfying(TrafficAction.Refuse.class,
					(refuse) -> assertThat(refuse.retryAfter()).isEqualTo(Duration.ofMillis(300)));
	}

	/** Guards against a full server that is taken for a faulty one. */
	@Test
	void pauseIsNoSuspicion() {
		reportEngines("e1");
		pause("e1", 100);
		this.fixture.advance(110);
		assertThat(sendAll()).as("no slow start, no suspicion").hasSize(REQUESTS);
	}

}
