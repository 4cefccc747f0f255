package org.celeryhill.entry;

import java.lang.reflect.Proxy;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.fake.FakeTableService;
import org.celeryhill.fake.Fault;
import org.celeryhill.traffic.TrafficAction;
import org.celeryhill.traffic.TrafficController;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of non-idempotent calls, which must run at most once.
 */
class ClaimTests {

	private static final String PATH = "/v1/services/dispatch/bookings";

	private final TestEnvironment environment = new TestEnvironment(100);

	private final TestCaller firstCaller = new TestCaller(this.environment.startDaemon("entry-1"),
			TestEnvironment.API_KEY_A);

	@AfterEach
	void close() {
		this.environment.close();
	}

	private static HttpResponse<String> book(TestCaller caller, String key) {
		return caller.post(PATH, "{\"roll\":7}", "Idempotency-Key", key);
	}

	private static String execution(HttpResponse<String> response) {
		return TestCaller.readError(response).path("execution").asText();
	}

	/** Guards against running a call again when its key is repeated. */
	@Test
	void repeatedKeyGetsStoredOutcome() {
		HttpResponse<String> one = book(this.firstCaller, "k1");
		HttpResponse<String> two = book(this.firstCaller, "k1");
		assertThat(one.statusCode()).as(one.body()).isEqualTo(200);
		assertThat(two.body()).isEqualTo(one.body());
		assertThat(two.headers().firstValue("Idempotency-Replayed")).hasValue("true");
		assertThat(this.environment.countExecutions("k1")).isEqualTo(1);
	}

	/**
	 * Guards against running a call twice when its key is sent through two daemons at
	 * once.
	 */
	@Test
	void sameKeyThroughTwoDaemonsRunsOnce() {
		TestCaller second = new TestCaller(this.environment.startDaemon("entry-2"), TestEnvironment.API_KEY_A);
		this.environment.services.values().forEach((one) -> one.setCallTime(java.time.Duration.ofMillis(300)));
		List<CompletableFuture<HttpResponse<String>>> calls = IntStream.range(0, 12)
			.mapToObj((i) -> CompletableFuture.supplyAsync(() -> book((i % 2 == 0) ? this.firstCaller : second, "k2")))
			.toList();
		Set<String> bodies = calls.stream().map((call) -> call.join().body()).collect(Collectors.toSet());
		assertThat(bodies).hasSize(1);
		assertThat(this.environment.countExecutions("k2")).isEqualTo(1);
	}

	/**
	 * Guards against losing a call, or running it twice, when the response to the write
	 * of its claim is lost.
	 */
	@Test
	void callRunsOnceWhenClaimWriteResponseIsLost() {
		book(this.firstCaller, "warm");
		this.environment.faults.script(FakeTableService.TARGET, Fault.NONE, Fault.NONE, Fault.LOST_ANSWER);
		HttpResponse<String> response = book(this.firstCaller, "k3");
		HttpResponse<String> again = book(this.firstCaller, "k3");
		assertThat(again.statusCode()).as(response.body() + again.body()).isEqualTo(200);
		assertThat(this.environment.countExecutions("k3")).isEqualTo(1);
	}

	/**
	 * Guards against sending a call without a stored claim and against a wrong execution
	 * state in the error.
	 */
	@Test
	void callIsNotRunWhileStoreIsDown() {
		this.environment.faults.setDown(FakeTableService.TARGET, true);
		HttpResponse<String> refused = book(this.firstCaller, "k4");
		assertThat(refused.statusCode()).isEqualTo(503);
		assertThat(execution(refused)).isEqualTo("not_run");
		assertThat(this.environment.countExecutions("k4")).isZero();
		this.environment.faults.setDown(FakeTableService.TARGET, false);
		assertThat(book(this.firstCaller, "k4").statusCode()).isEqualTo(200);
		assertThat(this.environment.countExecutions("k4")).isEqualTo(1);
	}

	/**
	 * Guards against running a call again when the response of the backend server is
	 * lost.
	 */
	@Test
	void lostServerResponseStaysUnknown() {
		this.environment.services.keySet()
			.forEach((id) -> this.environment.faults.script(id.value(), Fault.LOST_ANSWER));
		assertThat(execution(book(this.firstCaller, "k5"))).isEqualTo("unknown");
		assertThat(execution(book(this.firstCaller, "k5"))).isEqualTo("unknown");
		assertThat(this.environment.countExecutions("k5")).isEqualTo(1);
	}

	/**
	 * Guards against a call that fails or runs twice when the first server has certainly
	 * not run it.
	 */
	@Test
	void callIsRetriedAfterServerDidNotRunIt() {
		this.environment.faults.setDown("dispatch-1", true);
		for (int i = 0; i < 4; i++) {
			HttpResponse<String> response = book(this.firstCaller, "k6-" + i);
			assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
			assertThat(this.environment.countExecutions("k6-" + i)).isEqualTo(1);
		}
	}

	/**
	 * Guards against a key that is reused for a different call, a missing key, and a path
	 * that bypasses the rule of its idempotency.
	 */
	@Test
	void invalidKeysAndPathsAreRejected() {
		book(this.firstCaller, "k7");
		HttpResponse<String> reused = this.firstCaller.post(PATH, "{\"roll\":8}", "Idempotency-Key", "k7");
		assertThat(reused.statusCode()).isEqualTo(422);
		assertThat(this.firstCaller.post(PATH, "{}").statusCode()).isEqualTo(400);
		assertThat(this.firstCaller.post("/v1/services/dispatch/x/../bookings", "{}").statusCode()).isEqualTo(400);
	}

	/** Guards against a hedged attempt that sends a claimed call a second time. */
	@Test
	void hedgesOfClaimedCallsAreDeclined() {
		this.environment.services.values().forEach((one) -> one.setCallTime(java.time.Duration.ofMillis(200)));
		this.environment.controllerDecorator = ClaimTests::withHedging;
		TestCaller hedged = new TestCaller(this.environment.startDaemon("entry-3"), TestEnvironment.API_KEY_A);
		assertThat(book(hedged, "k9").statusCode()).isEqualTo(200);
		TestEnvironment.sleep(java.time.Duration.ofMillis(400));
		assertThat(this.environment.countExecutions("k9")).isEqualTo(1);
		assertThat(hedged.get("/v1/services/dispatch/rolls").statusCode()).isEqualTo(200);
		TestEnvironment.await(
				() -> this.environment.services.values().stream().mapToLong((one) -> one.completedCalls()).sum() == 3);
	}

	private static TrafficController withHedging(TrafficController inner) {
		return (TrafficController) Proxy.newProxyInstance(ClaimTests.class.getClassLoader(),
				new Class<?>[] { TrafficController.class }, (proxy, method, args) -> {
					Object result = method.invoke(inner, args);
					return "dispatch".equals(method.getName()) ? addHedges((List<?>) result) : result;
				});
	}

	private static List<TrafficAction> addHedges(List<?> actions) {
		List<TrafficAction> all = new ArrayList<>();
		for (Object action : actions) {
			all.add((TrafficAction) action);
			if (action instanceof TrafficAction.Send send) {
				all.add(new TrafficAction.Send(send.request(), AttemptId.of("hedge-" + send.attempt()),
						BackendServerId.of("dispatch-2"), true));
			}
		}
		return all;
	}

	/**
	 * Guards against a call that is sent after the deadline of its claim, when other
	 * daemons take its outcome as unknown and the claim may be deleted, so that it could
	 * run twice.
	 */
	@Test
	void callIsNotSentAfterDeadlineOfItsClaim() {
		this.environment.controllerDecorator = (inner) -> withDelayedSends(inner, java.time.Duration.ofMillis(700));
		TestCaller delayed = new TestCaller(
				this.environment.startDaemon("entry-4", "--claim-timeout=PT0.4S", "--call-timeout=PT0.3S"),
				TestEnvironment.API_KEY_A);
		HttpResponse<String> response = book(delayed, "k10");
		assertThat(response.statusCode()).as(response.body()).isEqualTo(503);
		assertThat(execution(response)).isEqualTo("not_run");
		TestEnvironment.sleep(java.time.Duration.ofMillis(300));
		assertThat(this.environment.countExecutions("k10")).isZero();
	}

	private static TrafficController withDelayedSends(TrafficController inner, java.time.Duration delay) {
		Map<TrafficAction, Long> dueNanos = new LinkedHashMap<>();
		return (TrafficController) Proxy.newProxyInstance(ClaimTests.class.getClassLoader(),
				new Class<?>[] { TrafficController.class }, (proxy, method, args) -> {
					Object result = method.invoke(inner, args);
					if (!"dispatch".equals(method.getName())) {
						return result;
					}
					long now = System.nanoTime();
					((List<?>) result).forEach((action) -> dueNanos.put((TrafficAction) action, now + delay.toNanos()));
					List<TrafficAction> due = new ArrayList<>(dueNanos.keySet());
					due.removeIf((action) -> dueNanos.get(action) > now);
					dueNanos.keySet().removeAll(due);
					return due;
				});
	}

	/**
	 * Guards against a repeated key that runs again on the other system when the split
	 * changes.
	 */
	@Test
	void trafficSplitChangeDoesNotMoveKey() {
		book(this.firstCaller, "k8");
		this.environment.acceptConfiguration(0);
		TestEnvironment.await(() -> {
			book(this.firstCaller, "probe-" + System.nanoTime());
			return this.environment.services.get(BackendServerId.of("legacy-dispatch")).completedCalls() > 0;
		});
		assertThat(book(this.firstCaller, "k8").headers().firstValue("Idempotency-Replayed")).hasValue("true");
		assertThat(this.environment.countExecutions("k8")).isEqualTo(1);
	}

}
