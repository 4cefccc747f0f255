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
 * Tests of the shares of organisations and priority classes on one small engine.
 */
class FairSchedulingTests {

	/** Number of requests sent, by organisation and class. */
	private final Map<String, Integer> sentCounts = new HashMap<>();

	// Keeps 3 requests waiting for each demand ("organisation/class") and finishes the
	// oldest attempt at every step.
	private void simulate(TrafficFixture fixture, int steps, String... demands) {
		Queue<TrafficAction.Send> running = new ArrayDeque<>();
		Map<RequestId, String> labels = new HashMap<>();
		Map<String, Integer> waiting = new HashMap<>();
		fixture.engine("e1", TrafficFixture.LOCAL_DATA_CENTRE, 8, false, TrafficFixture.MODEL);
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
					this.sentCounts.merge(label, 1, Integer::sum);
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
				fixture.engine("e1", TrafficFixture.LOCAL_DATA_CENTRE, 8, false, TrafficFixture.MODEL);
			}
		}
	}

	/**
	 * Guards against an organisation that gets more than its weight while others wait.
	 */
	@Property(tries = 15, seed = "11")
	void organisationsShareCapacityByWeight(@ForAll @IntRange(min = 1, max = 4) int weight, @ForAll long seed) {
		this.sentCounts.clear();
		TrafficFixture fixture = new TrafficFixture(seed, TrafficTunables.DEFAULTS, weight, "a", "b");
		simulate(fixture, 1500, "a/normal", "b/normal");
		double ratio = (double) this.sentCounts.get("a/normal") / this.sentCounts.get("b/normal");
		assertThat(ratio).isBetween(weight * 0.9, weight * 1.1);
	}

	/** Guards against urgent overload that pushes a lower class below its floor. */
	@Property(tries = 10, seed = "12")
	void lowerClassesKeepTheirFloorShares(@ForAll long seed) {
		this.sentCounts.clear();
		TrafficFixture fixture = new TrafficFixture(seed, TrafficTunables.DEFAULTS, "a");
		simulate(fixture, 3000, "a/urgent", "a/normal", "a/batch");
		int total = this.sentCounts.values().stream().mapToInt(Integer::intValue).sum();
		assertThat(this.sentCounts.get("a/normal")).isGreaterThanOrEqualTo((int) (0.19 * total));
		assertThat(this.sentCounts.get("a/batch")).isGreaterThanOrEqualTo((int) (0.09 * total));
		assertThat(this.sentCounts.get("a/urgent")).isGreaterThan(this.sentCounts.get("a/normal"));
	}

	/**
	 * Guards against urgent overload of one organisation that starves batch requests of
	 * another.
	 */
	@Test
	void urgentOverloadOfOneOrganisationDoesNotStarveAnother() {
		TrafficFixture fixture = new TrafficFixture(3, TrafficTunables.DEFAULTS, "a", "b");
		simulate(fixture, 2000, "a/urgent", "b/batch");
		assertThat(this.sentCounts.get("b/batch")).isGreaterThan((int) (0.9 * this.sentCounts.get("a/urgent")));
	}

	/**
	 * Guards against an unused share that is not given to waiting organisations, or is
	 * not returned as soon as its owner has requests again.
	 */
	@Test
	void unusedShareIsGivenToOthersAndReturnedAtOnce() {
		TrafficFixture fixture = new TrafficFixture(4, TrafficTunables.DEFAULTS, "a", "b");
		simulate(fixture, 500, "a/normal");
		assertThat(this.sentCounts.get("a/normal")).isGreaterThan(480);
		this.sentCounts.clear();
		simulate(fixture, 500, "a/normal", "b/normal");
		assertThat(this.sentCounts.get("b/normal")).isGreaterThan(220);
	}

	/**
	 * Guards against an organisation that gets more than its weight by sending requests
	 * through several hosts.
	 */
	@Test
	void usageReportedByPeersIsCharged() {
		TrafficFixture fixture = new TrafficFixture(5, TrafficTunables.DEFAULTS, "a", "b");
		fixture.engine("e1", TrafficFixture.LOCAL_DATA_CENTRE, 1, false, TrafficFixture.MODEL);
		for (int i = 0; i < 20; i++) {
			fixture.controller.offer(fixture.request("a", PriorityClass.NORMAL), fixture.now);
			fixture.controller.offer(fixture.request("b", PriorityClass.NORMAL), fixture.now);
		}
		fixture.controller.recordPeerUsage(peer(1, 0), fixture.now);
		fixture.controller.recordPeerUsage(peer(2, 2000), fixture.now);
		Map<String, Integer> counts = new HashMap<>();
		for (int i = 0; i < 10; i++) {
			for (TrafficAction.Send send : fixture.dispatchSends()) {
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

	/** Guards against a request that is both sent and refused, or neither. */
	@Property(tries = 15, seed = "13")
	void everyRequestIsSentOrRefusedExactlyOnce(@ForAll long seed, @ForAll @IntRange(min = 1, max = 60) int burst) {
		TrafficFixture fixture = new TrafficFixture(seed, TrafficTunables.DEFAULTS.withQueueLimit(20), "a");
		fixture.engine("e1", TrafficFixture.LOCAL_DATA_CENTRE, 2, false, TrafficFixture.MODEL);
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
