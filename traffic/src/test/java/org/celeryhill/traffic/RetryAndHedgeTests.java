package org.celeryhill.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.celeryhill.base.HostId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.RequestId;
import org.celeryhill.base.UsageTotals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of retries, hedges, refusals and cancellation.
 */
class RetryAndHedgeTests {

	/**
	 * Guards against a call that runs twice although it is not idempotent, in any order
	 * of outcomes and retries.
	 */
	@Property(tries = 60, seed = "31")
	void nonIdempotentCallIsSentAtMostOnce(
			@ForAll @Size(min = 1, max = 40) List<@IntRange(min = 0, max = 4) Integer> outcomes) {
		TrafficFixture fixture = new TrafficFixture(1, TrafficTunables.DEFAULTS, "a");
		Map<RequestId, Integer> counts = new HashMap<>();
		for (int outcome : outcomes) {
			fixture.reportPlainServer("p1", 0, 2);
			fixture.reportPlainServer("p2", 0, 2);
			TrafficRequest call = fixture.plainRequest("a", false);
			fixture.controller.offer(call, fixture.now);
			for (TrafficAction.Send send : fixture.dispatchSends()) {
				counts.merge(send.request(), 1, Integer::sum);
				fixture.controller.finish(send.attempt(), AttemptOutcome.values()[outcome], fixture.now);
				fixture.controller.retry(call, send.attempt(), fixture.now);
			}
			fixture.advance(outcome * 700L);
		}
		assertThat(counts.values()).allMatch((count) -> count == 1);
	}

	/** Guards against hedges of requests that must not, or need not, run twice. */
	@Property(tries = 12, seed = "32")
	void onlyUrgentIdempotentRequestsAreHedgedWithinTheBudget(@ForAll boolean isIdempotent,
			@ForAll PriorityClass priority) {
		TrafficFixture fixture = new TrafficFixture(1, TrafficTunables.DEFAULTS, "a");
		fixture.engine("e1", TrafficFixture.LOCAL_DATA_CENTRE, 200, false, TrafficFixture.MODEL);
		fixture.engine("e2", TrafficFixture.LOCAL_DATA_CENTRE, 200, false, TrafficFixture.MODEL);
		for (int i = 0; i < 100; i++) {
			fixture.controller.offer(fixture.request("a", priority, TrafficFixture.MODEL, isIdempotent), fixture.now);
		}
		assertThat(fixture.dispatchSends()).hasSize(100);
		fixture.advance(300);
		List<TrafficAction.Send> hedged = fixture.dispatchSends();
		boolean isAllowed = isIdempotent && priority == PriorityClass.URGENT;
		assertThat(hedged).hasSize(isAllowed ? 5 : 0);
		assertThat(hedged).allMatch(TrafficAction.Send::isHedge);
	}

	/** Guards against a hedge to the engine that already runs the slow attempt. */
	@Test
	void hedgeGoesToAnotherEngine() {
		TrafficFixture fixture = new TrafficFixture(1, TrafficTunables.DEFAULTS, "a");
		fixture.engine("e1", TrafficFixture.LOCAL_DATA_CENTRE, 9, false, TrafficFixture.MODEL);
		fixture.engine("e2", TrafficFixture.LOCAL_DATA_CENTRE, 9, false, TrafficFixture.MODEL);
		fixture.controller.offer(fixture.request("a", PriorityClass.URGENT), fixture.now);
		TrafficAction.Send first = fixture.dispatchSends().get(0);
		fixture.advance(300);
		assertThat(fixture.dispatchSends()).singleElement()
			.matches((hedge) -> !hedge.backend().equals(first.backend()));
	}

	/**
	 * Guards against retries that amplify an overload, and against a retry on the server
	 * that failed the request.
	 */
	@Test
	void retriesStayWithinBudgetAndAvoidFailedServers() {
		TrafficFixture fixture = new TrafficFixture(1, TrafficTunables.DEFAULTS, "a");
		for (int i = 0; i < 4; i++) {
			fixture.engine("e" + i, TrafficFixture.LOCAL_DATA_CENTRE, 60, false, TrafficFixture.MODEL);
		}
		Map<RequestId, TrafficRequest> requests = new HashMap<>();
		for (int i = 0; i < 40; i++) {
			TrafficRequest request = fixture.request("a", PriorityClass.NORMAL);
			requests.put(request.id(), request);
			fixture.controller.offer(request, fixture.now);
		}
		Map<RequestId, TrafficAction.Send> first = new HashMap<>();
		List<TrafficAction.Refuse> refused = new ArrayList<>();
		for (TrafficAction.Send send : fixture.dispatchSends()) {
			first.put(send.request(), send);
			fixture.controller.finish(send.attempt(), AttemptOutcome.REFUSED, fixture.now);
			fixture.controller.retry(requests.get(send.request()), send.attempt(), fixture.now).ifPresent(refused::add);
		}
		List<TrafficAction.Send> again = fixture.dispatchSends();
		assertThat(again).hasSizeBetween(8, 10);
		assertThat(again).noneMatch((send) -> send.backend().equals(first.get(send.request()).backend()));
		assertThat(refused).hasSize(40 - again.size())
			.allMatch((refuse) -> refuse.reason() == TrafficAction.Reason.RETRIES_EXHAUSTED);
	}

	/** Guards against queueing a request whose deadline cannot be met. */
	@Test
	void requestIsRefusedWhenBacklogExceedsDeadline() {
		TrafficFixture fixture = new TrafficFixture(1, TrafficTunables.DEFAULTS, "a");
		fixture.engine("e1", TrafficFixture.LOCAL_DATA_CENTRE, 2, false, TrafficFixture.MODEL);
		Optional<TrafficAction.Refuse> refusal = Optional.empty();
		for (int i = 0; i < 400 && refusal.isEmpty(); i++) {
			refusal = fixture.controller.offer(fixture.request("a", PriorityClass.URGENT), fixture.now);
			fixture.dispatchSends();
			fixture.advance(1);
		}
		assertThat(refusal).get().matches((refuse) -> refuse.reason() == TrafficAction.Reason.DEADLINE);
		assertThat(refusal.get().retryAfter()).isGreaterThan(java.time.Duration.ofSeconds(1));
	}

	/** Guards against a queue that grows without limit. */
	@Test
	void requestBeyondQueueLimitIsRefused() {
		TrafficFixture fixture = new TrafficFixture(1, TrafficTunables.DEFAULTS.withQueueLimit(3), "a");
		fixture.engine("e1", TrafficFixture.LOCAL_DATA_CENTRE, 2, false);
		for (int i = 0; i < 3; i++) {
			assertThat(fixture.controller.offer(fixture.request("a", PriorityClass.BATCH), fixture.now)).isEmpty();
		}
		assertThat(fixture.controller.offer(fixture.request("a", PriorityClass.BATCH), fixture.now)).get()
			.matches((refuse) -> refuse.reason() == TrafficAction.Reason.QUEUE_FULL);
	}

	/** Guards against sending a request whose caller has disconnected. */
	@Test
	void cancelledRequestIsNotSent() {
		TrafficFixture fixture = new TrafficFixture(1, TrafficTunables.DEFAULTS, "a");
		TrafficRequest request = fixture.request("a", PriorityClass.BATCH);
		fixture.engine("e1", TrafficFixture.LOCAL_DATA_CENTRE, 2, false, TrafficFixture.MODEL);
		fixture.controller.offer(request, fixture.now);
		fixture.controller.cancel(request.id());
		assertThat(fixture.controller.dispatch(fixture.now)).isEmpty();
	}

	/** Guards against an explanation or a state dump without the decision. */
	@Test
	void explanationAndDumpContainDecision() {
		TrafficFixture fixture = new TrafficFixture(1, TrafficTunables.DEFAULTS, "a");
		TrafficRequest request = fixture.request("a", PriorityClass.BATCH);
		fixture.engine("e1", TrafficFixture.LOCAL_DATA_CENTRE, 2, false, TrafficFixture.MODEL);
		fixture.controller.offer(request, fixture.now);
		fixture.dispatchSends();
		assertThat(fixture.controller.explain(request.id())).singleElement()
			.matches((line) -> line.contains("decision=send") && line.contains("subject=e1"));
		assertThat(fixture.controller.dump()).containsEntry("attempts", 1).containsKey("services");
	}

	/**
	 * Guards against daemons that each have a burst of retries of their own, so that all
	 * of them together send more than the budget that they share.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 6, 88, 400 })
	void retriesOfAllDaemonsStayWithinSharedBudget(int daemons) {
		int requests = 20;
		double slack = (daemons < 10) ? 52 : 216;
		int retries = 0;
		for (int i = 0; i < daemons; i++) {
			TrafficFixture fixture = new TrafficFixture(i, TrafficTunables.DEFAULTS.withSharedRetryBurst(slack), "a");
			fixture.controller.recordGroupUsage(groupTotals(), daemons - 1, fixture.now);
			completeRequests(fixture, 150);
			fixture.advance(20_000);
			retries += countRetries(fixture, requests);
		}
		assertThat(retries).isLessThanOrEqualTo((int) (0.2 * daemons * requests + slack));
		assertThat(retries).isGreaterThanOrEqualTo(daemons);
	}

	private static UsageTotals groupTotals() {
		return new UsageTotals(HostId.of("holder"), TrafficFixture.LOCAL_DATA_CENTRE, "1", 1, Map.of());
	}

	// Sends requests without failures, so that the daemon has as many permits as it may
	// keep.
	private static void completeRequests(TrafficFixture fixture, int count) {
		fixture.engine("sound", TrafficFixture.LOCAL_DATA_CENTRE, 20, false, TrafficFixture.MODEL);
		for (int i = 0; i < count; i++) {
			fixture.controller.offer(fixture.request("a", PriorityClass.NORMAL), fixture.now);
			fixture.dispatchSends()
				.forEach((send) -> fixture.controller.finish(send.attempt(), AttemptOutcome.COMPLETED, fixture.now));
		}
	}

	private static int countRetries(TrafficFixture fixture, int requests) {
		int retries = 0;
		for (int j = 0; j < requests; j++) {
			for (int server = 0; server < 3; server++) {
				fixture.engine("e" + j + "-" + server, TrafficFixture.LOCAL_DATA_CENTRE, 20, false,
						TrafficFixture.MODEL);
			}
			TrafficRequest request = fixture.request("a", PriorityClass.NORMAL);
			fixture.controller.offer(request, fixture.now);
			TrafficAction.Send send = fixture.dispatchSends().get(0);
			fixture.controller.finish(send.attempt(), AttemptOutcome.BROKEN, fixture.now);
			if (fixture.controller.retry(request, send.attempt(), fixture.now).isEmpty()) {
				retries++;
				fixture.controller.cancel(request.id());
			}
		}
		return retries;
	}

}
