package org.celeryhill.entry;

import java.lang.reflect.Proxy;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
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
 * Tests of calls that must run at most once.
 */
class ClaimTests {

	private static final String PATH = "/v1/services/dispatch/bookings";

	private final TestWorld world = new TestWorld(100);

	private final TestCaller first = new TestCaller(this.world.daemon("entry-1"), TestWorld.KEY_A);

	@AfterEach
	void close() {
		this.world.close();
	}

	private static HttpResponse<String> book(TestCaller caller, String key) {
		return caller.post(PATH, "{\"roll\":7}", "Idempotency-Key", key);
	}

	private static String execution(HttpResponse<String> response) {
		return TestCaller.error(response).path("execution").asText();
	}

	/** Guards against a second run when a key is repeated. */
	@Test
	void repeatedKeyGetsStoredOutcome() {
		HttpResponse<String> one = book(this.first, "k1");
		HttpResponse<String> two = book(this.first, "k1");
		assertThat(one.statusCode()).as(one.body()).isEqualTo(200);
		assertThat(two.body()).isEqualTo(one.body());
		assertThat(two.headers().firstValue("Idempotency-Replayed")).hasValue("true");
		assertThat(this.world.bookings("k1")).isEqualTo(1);
	}

	/** Guards against a double booking when callers send one key through two daemons. */
	@Test
	void sameKeyThroughTwoDaemonsRunsOnce() {
		TestCaller second = new TestCaller(this.world.daemon("entry-2"), TestWorld.KEY_A);
		this.world.services.values().forEach((one) -> one.setCallTime(java.time.Duration.ofMillis(300)));
		List<CompletableFuture<HttpResponse<String>>> calls = IntStream.range(0, 12)
			.mapToObj((i) -> CompletableFuture.supplyAsync(() -> book((i % 2 == 0) ? this.first : second, "k2")))
			.toList();
		Set<String> bodies = calls.stream().map((call) -> call.join().body()).collect(Collectors.toSet());
		assertThat(bodies).hasSize(1);
		assertThat(this.world.bookings("k2")).isEqualTo(1);
	}

	/**
	 * Guards against losing a call, or running it twice, when a claim write is
	 * unanswered.
	 */
	@Test
	void lostAnswerOfClaimWriteRunsOnce() {
		book(this.first, "warm");
		this.world.faults.script(FakeTableService.TARGET, Fault.NONE, Fault.NONE, Fault.LOST_ANSWER);
		HttpResponse<String> response = book(this.first, "k3");
		HttpResponse<String> again = book(this.first, "k3");
		assertThat(again.statusCode()).as(response.body() + again.body()).isEqualTo(200);
		assertThat(this.world.bookings("k3")).isEqualTo(1);
	}

	/** Guards against sending a call that is not recorded, and an untrue refusal. */
	@Test
	void storeDownRefusesWithoutRunning() {
		this.world.faults.setDown(FakeTableService.TARGET, true);
		HttpResponse<String> refused = book(this.first, "k4");
		assertThat(refused.statusCode()).isEqualTo(503);
		assertThat(execution(refused)).isEqualTo("not_run");
		assertThat(this.world.bookings("k4")).isZero();
		this.world.faults.setDown(FakeTableService.TARGET, false);
		assertThat(book(this.first, "k4").statusCode()).isEqualTo(200);
		assertThat(this.world.bookings("k4")).isEqualTo(1);
	}

	/** Guards against a second run when the answer of the backend server is lost. */
	@Test
	void lostAnswerOfServerIsUnknownForever() {
		this.world.services.keySet().forEach((id) -> this.world.faults.script(id.value(), Fault.LOST_ANSWER));
		assertThat(execution(book(this.first, "k5"))).isEqualTo("unknown");
		assertThat(execution(book(this.first, "k5"))).isEqualTo("unknown");
		assertThat(this.world.bookings("k5")).isEqualTo(1);
	}

	/**
	 * Guards against giving up, or running twice, when a server certainly did not run it.
	 */
	@Test
	void serverThatDidNotRunIsReplaced() {
		this.world.faults.setDown("dispatch-1", true);
		for (int i = 0; i < 4; i++) {
			HttpResponse<String> response = book(this.first, "k6-" + i);
			assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
			assertThat(this.world.bookings("k6-" + i)).isEqualTo(1);
		}
	}

	/**
	 * Guards against a key that hides a second, different call, and against a missing
	 * key.
	 */
	@Test
	void keysAreChecked() {
		book(this.first, "k7");
		HttpResponse<String> reused = this.first.post(PATH, "{\"roll\":8}", "Idempotency-Key", "k7");
		assertThat(reused.statusCode()).isEqualTo(422);
		assertThat(this.first.post(PATH, "{}").statusCode()).isEqualTo(400);
		assertThat(this.first.post("/v1/services/dispatch/x/../bookings", "{}").statusCode()).isEqualTo(400);
	}

	/** Guards against a hedge that sends a claimed call a second time. */
	@Test
	void hedgesOfClaimedCallsAreDeclined() {
		this.world.services.values().forEach((one) -> one.setCallTime(java.time.Duration.ofMillis(200)));
		this.world.controllers = ClaimTests::hedgingAll;
		TestCaller hedged = new TestCaller(this.world.daemon("entry-3"), TestWorld.KEY_A);
		assertThat(book(hedged, "k9").statusCode()).isEqualTo(200);
		TestWorld.sleep(java.time.Duration.ofMillis(400));
		assertThat(this.world.bookings("k9")).isEqualTo(1);
		assertThat(hedged.get("/v1/services/dispatch/rolls").statusCode()).isEqualTo(200);
		TestWorld.await(() -> this.world.services.values().stream().mapToLong((one) -> one.total()).sum() == 3);
	}

	private static TrafficController hedgingAll(TrafficController inner) {
		return (TrafficController) Proxy.newProxyInstance(ClaimTests.class.getClassLoader(),
				new Class<?>[] { TrafficController.class }, (proxy, method, args) -> {
					Object result = method.invoke(inner, args);
					return "dispatch".equals(method.getName()) ? withHedges((List<?>) result) : result;
				});
	}

	private static List<TrafficAction> withHedges(List<?> actions) {
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

	/** Guards against a key that moves to the other system when the split changes. */
	@Test
	void splitChangeDoesNotMoveKey() {
		book(this.first, "k8");
		this.world.propose(0);
		TestWorld.await(() -> {
			book(this.first, "probe-" + System.nanoTime());
			return this.world.services.get(BackendServerId.of("legacy-dispatch")).total() > 0;
		});
		assertThat(book(this.first, "k8").headers().firstValue("Idempotency-Replayed")).hasValue("true");
		assertThat(this.world.bookings("k8")).isEqualTo(1);
	}

}
