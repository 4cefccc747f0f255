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
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.RequestId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Retries, hedges and refusals.
 */
class RepeatedSendTests {

	/** Guards against a booking that runs twice, in any order of outcomes and retries. */
	@Property(tries = 60, seed = "31")
	void nonIdempotentCallIsSentAtMostOnce(
			@ForAll @Size(min = 1, max = 40) List<@IntRange(min = 0, max = 4) Integer> outcomes) {
		TrafficFixture fixture = new TrafficFixture(1, TrafficTunables.DEFAULTS, "a");
		Map<RequestId, Integer> counts = new HashMap<>();
		for (int outcome : outcomes) {
			fixture.plain("p1", 0, 2);
			fixture.plain("p2", 0, 2);
			TrafficRequest call = fixture.call("a", false);
			fixture.controller.offer(call, fixture.now);
			for (TrafficAction.Send send : fixture.sends()) {
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
		fixture.engine("e1", TrafficFixture.NEAR, 200, false, TrafficFixture.MODEL);
		fixture.engine("e2", TrafficFixture.NEAR, 200, false, TrafficFixture.MODEL);
		for (int i = 0; i < 100; i++) {
			fixture.controller.offer(fixture.request("a", priority, TrafficFixture.MODEL, isIdempotent), fixture.now);
		}
		assertThat(fixture.sends()).hasSize(100);
		fixture.advance(300);
		List<TrafficAction.Send> hedged = fixture.sends();
		boolean isAllowed = isIdempotent && priority == PriorityClass.URGENT;
		assertThat(hedged).hasSize(isAllowed ? 5 : 0);
		assertThat(hedged).allMatch(TrafficAction.Send::isHedge);
	}

	/** Guards against a hedge to the engine that is slow already. */
	@Test
	void hedgeGoesToAnotherEngine() {
		TrafficFixture fixture = new TrafficFixture(1, TrafficTunables.DEFAULTS, "a");
		fixture.engine("e1", TrafficFixture.NEAR, 9, false, TrafficFixture.MODEL);
		fixture.engine("e2", TrafficFixture.NEAR, 9, false, TrafficFixture.MODEL);
		fixture.controller.offer(fixture.request("a", PriorityClass.URGENT), fixture.now);
		TrafficAction.Send first = fixture.sends().get(0);
		fixture.advance(300);
		assertThat(fixture.sends()).singleElement().matches((hedge) -> !hedge.backend().equals(first.backend()));
	}

	/** Guards against retries that multiply an overload, and against a failed server. */
	@Test
	void retriesHaveABudgetAndAvoidFailedServers() {
		TrafficFixture fixture = new TrafficFixture(1, TrafficTunables.DEFAULTS, "a");
		for (int i = 0; i < 4; i++) {
			fixture.engine("e" + i, TrafficFixture.NEAR, 60, false, TrafficFixture.MODEL);
		}
		Map<RequestId, TrafficRequest> requests = new HashMap<>();
		for (int i = 0; i < 40; i++) {
			TrafficRequest request = fixture.request("a", PriorityClass.NORMAL);
			requests.put(request.id(), request);
			fixture.controller.offer(request, fixture.now);
		}
		Map<RequestId, TrafficAction.Send> first = new HashMap<>();
		List<TrafficAction.Refuse> refused = new ArrayList<>();
		for (TrafficAction.Send send : fixture.sends()) {
			first.put(send.request(), send);
			fixture.controller.finish(send.attempt(), AttemptOutcome.REFUSED, fixture.now);
			fixture.controller.retry(requests.get(send.request()), send.attempt(), fixture.now).ifPresent(refused::add);
		}
		List<TrafficAction.Send> again = fixture.sends();
		assertThat(again).hasSizeBetween(8, 10);
		assertThat(again).noneMatch((send) -> send.backend().equals(first.get(send.request()).backend()));
		assertThat(refused).hasSize(40 - again.size())
			.allMatch((one) -> one.reason() == TrafficAction.Reason.RETRIES_EXHAUSTED);
	}

	/** Guards against requests that wait although their deadline cannot be met. */
	@Test
	void backlogBeyondTheDeadlineIsRefusedEarly() {
		TrafficFixture fixture = new TrafficFixture(1, TrafficTunables.DEFAULTS, "a");
		fixture.engine("e1", TrafficFixture.NEAR, 2, false, TrafficFixture.MODEL);
		Optional<TrafficAction.Refuse> refusal = Optional.empty();
		for (int i = 0; i < 400 && refusal.isEmpty(); i++) {
			refusal = fixture.controller.offer(fixture.request("a", PriorityClass.URGENT), fixture.now);
			fixture.sends();
			fixture.advance(1);
		}
		assertThat(refusal).get().matches((one) -> one.reason() == TrafficAction.Reason.DEADLINE);
		assertThat(refusal.get().retryAfter()).isGreaterThan(java.time.Duration.ofSeconds(1));
	}

	/** Guards against unbounded queues. */
	@Test
	void queueIsBounded() {
		TrafficFixture fixture = new TrafficFixture(1, TrafficTunables.DEFAULTS.withQueueLimit(3), "a");
		fixture.engine("e1", TrafficFixture.NEAR, 2, false);
		for (int i = 0; i < 3; i++) {
			assertThat(fixture.controller.offer(fixture.request("a", PriorityClass.BATCH), fixture.now)).isEmpty();
		}
		assertThat(fixture.controller.offer(fixture.request("a", PriorityClass.BATCH), fixture.now)).get()
			.matches((one) -> one.reason() == TrafficAction.Reason.QUEUE_FULL);
	}

	/** Guards against requests of a caller that is gone. */
	@Test
	void cancelledRequestIsNotSent() {
		TrafficFixture fixture = new TrafficFixture(1, TrafficTunables.DEFAULTS, "a");
		TrafficRequest request = fixture.request("a", PriorityClass.BATCH);
		fixture.engine("e1", TrafficFixture.NEAR, 2, false, TrafficFixture.MODEL);
		fixture.controller.offer(request, fixture.now);
		fixture.controller.cancel(request.id());
		assertThat(fixture.controller.dispatch(fixture.now)).isEmpty();
	}

	/** Guards against an explanation or a dump that misses the decision. */
	@Test
	void decisionsAreExplained() {
		TrafficFixture fixture = new TrafficFixture(1, TrafficTunables.DEFAULTS, "a");
		TrafficRequest request = fixture.request("a", PriorityClass.BATCH);
		fixture.engine("e1", TrafficFixture.NEAR, 2, false, TrafficFixture.MODEL);
		fixture.controller.offer(request, fixture.now);
		fixture.sends();
		assertThat(fixture.controller.explain(request.id())).singleElement()
			.matches((line) -> line.contains("decision=send") && line.contains("subject=e1"));
		assertThat(fixture.controller.dump()).containsEntry("attempts", 1).containsKey("services");
	}

}
