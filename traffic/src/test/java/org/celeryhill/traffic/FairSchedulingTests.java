package org.celeryhill.traffic;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Queue;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.HostId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.RequestId;
import org.celeryhill.base.UsageTotals;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Shares of organisations and classes on one small engine.
 */
class FairSchedulingTests {

	/** Requests sent, by organisation and class. */
	private final Map<String, Integer> sent = new HashMap<>();

	/** Keeps queues full and lets the oldest attempt finish at every step. */
	private void drive(TrafficFixture fixture, int steps, String... demands) {
		Queue<TrafficAction.Send> running = new ArrayDeque<>();
		Map<RequestId, String> labels = new HashMap<>();
		Map<String, Integer> waiting = new HashMap<>();
		fixture.engine("e1", TrafficFixture.NEAR, 8, false, TrafficFixture.MODEL);
		for (int step = 0; step < steps; step++) {
			for (String demand : demands) {
				while (waiting.merge(demand, 1, Integer::sum) <= 3) {
					String[] parts = demand.split("/");
					TrafficRequest request = fixture.request(parts[0], PriorityClass.parse(parts[1]));
					labels.put(request.id(), demand);
					fixture.controller.offer(request, fixture.now);
				}
				waiting.merge(demand, -1, Integer::sum);
			}
			for (TrafficAction action : fixture.controller.dispatch(fixture.now)) {
				String label = labels.get(action.request());
				waiting.merge(label, -1, Integer::sum);
				if (action instanceof TrafficAction.Send send) {
					this.sent.merge(label, 1, Integer::sum);
					running.add(send);
				}
			}
			fixture.advance(5);
			if (!running.isEmpty()) {
				TrafficAction.Send first = running.remove();
				fixture.controller.progress(first.attempt(), 100, fixture.now);
				fixture.controller.finish(first.attempt(), AttemptOutcome.COMPLETED, fixture.now);
			}
			if (step % 50 == 0) {
				fixture.engine("e1", TrafficFixture.NEAR, 8, false, TrafficFixture.MODEL);
			}
		}
	}

	/**
	 * Guards against an organisation that gets more than its weight while others wait.
	 */
	@Property(tries = 15, seed = "11")
	void organisationsShareByWeight(@ForAll @IntRange(min = 1, max = 4) int weight, @ForAll long seed) {
		this.sent.clear();
		TrafficFixture fixture = new TrafficFixture(seed, TrafficTunables.DEFAULTS, weight, "a", "b");
		drive(fixture, 1500, "a/normal", "b/normal");
		double ratio = (double) this.sent.get("a/normal") / this.sent.get("b/normal");
		assertThat(ratio).isBetween(weight * 0.9, weight * 1.1);
	}

	/** Guards against urgent overload that pushes a lower class below its floor. */
	@Property(tries = 10, seed = "12")
	void lowerClassesKeepTheirFloors(@ForAll long seed) {
		this.sent.clear();
		TrafficFixture fixture = new TrafficFixture(seed, TrafficTunables.DEFAULTS, "a");
		drive(fixture, 3000, "a/urgent", "a/normal", "a/batch");
		int total = this.sent.values().stream().mapToInt(Integer::intValue).sum();
		assertThat(this.sent.get("a/normal")).isGreaterThanOrEqualTo((int) (0.19 * total));
		assertThat(this.sent.get("a/batch")).isGreaterThanOrEqualTo((int) (0.09 * total));
		assertThat(this.sent.get("a/urgent")).isGreaterThan(this.sent.get("a/normal"));
	}

	/**
	 * Guards against starvation of one organisation's batch by another's urgent flood.
	 */
	@Test
	void urgentFloodOfOneOrganisationDoesNotStarveAnother() {
		TrafficFixture fixture = new TrafficFixture(3, TrafficTunables.DEFAULTS, "a", "b");
		drive(fixture, 2000, "a/urgent", "b/batch");
		assertThat(this.sent.get("b/batch")).isGreaterThan((int) (0.9 * this.sent.get("a/urgent")));
	}

	/** Guards against shares that stay idle while somebody waits. */
	@Test
	void unusedShareIsLentAndReclaimedAtOnce() {
		TrafficFixture fixture = new TrafficFixture(4, TrafficTunables.DEFAULTS, "a", "b");
		drive(fixture, 500, "a/normal");
		assertThat(this.sent.get("a/normal")).isGreaterThan(480);
		this.sent.clear();
		drive(fixture, 500, "a/normal", "b/normal");
		assertThat(this.sent.get("b/normal")).isGreaterThan(220);
	}

	/** Guards against an organisation that gains by entering through several hosts. */
	@Test
	void usageThroughPeersIsCharged() {
		TrafficFixture fixture = new TrafficFixture(5, TrafficTunables.DEFAULTS, "a", "b");
		fixture.engine("e1", TrafficFixture.NEAR, 1, false, TrafficFixture.MODEL);
		for (int i = 0; i < 20; i++) {
			fixture.controller.offer(fixture.request("a", PriorityClass.NORMAL), fixture.now);
			fixture.controller.offer(fixture.request("b", PriorityClass.NORMAL), fixture.now);
		}
		fixture.controller.recordPeerUsage(peer(1, 0), fixture.now);
		fixture.controller.recordPeerUsage(peer(2, 2000), fixture.now);
		Map<String, Integer> counts = new HashMap<>();
		for (int i = 0; i < 10; i++) {
			for (TrafficAction.Send send : fixture.sends()) {
				boolean isA = Integer.parseInt(send.request().value().substring(1)) % 2 == 0;
				counts.merge(isA ? "a" : "b", 1, Integer::sum);
				fixture.controller.finish(send.attempt(), AttemptOutcome.COMPLETED, fixture.now);
			}
		}
		assertThat(counts.getOrDefault("b", 0)).isGreaterThan(counts.getOrDefault("a", 0) + 7);
	}

	private static UsageTotals peer(long sequence, long tokens) {
		UsageTotals.Key key = new UsageTotals.Key(OrganisationId.of("a"), PriorityClass.NORMAL);
		return new UsageTotals(HostId.of("host-b"), DataCentre.of("near"), "1", sequence, Map.of(key, tokens));
	}

	/** Guards against a request that is both sent and refused, or never answered. */
	@Property(tries = 15, seed = "13")
	void everyRequestIsSentOrRefusedOnce(@ForAll long seed, @ForAll @IntRange(min = 1, max = 60) int burst) {
		TrafficFixture fixture = new TrafficFixture(seed, TrafficTunables.DEFAULTS.withQueueLimit(20), "a");
		fixture.engine("e1", TrafficFixture.NEAR, 2, false, TrafficFixture.MODEL);
		Set<RequestId> open = new HashSet<>();
		for (int i = 0; i < burst; i++) {
			TrafficRequest request = fixture.request("a", PriorityClass.values()[i % 3]);
			if (fixture.controller.offer(request, fixture.now).isEmpty()) {
				open.add(request.id());
			}
		}
		for (int i = 0; i < 70; i++) {
			for (TrafficAction action : fixture.controller.dispatch(fixture.now)) {
				assertThat(open.remove(action.request())).isTrue();
			}
			fixture.advance(1000);
		}
		assertThat(open).isEmpty();
	}

}
