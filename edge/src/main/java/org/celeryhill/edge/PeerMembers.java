package org.celeryhill.edge;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Hosts that send heartbeats to this one, with the demand that they report. Must be used
 * on the event loop.
 */
final class PeerMembers {

	/** Time without a heartbeat after which a host is no longer taken into account. */
	private static final long TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2500);

	private final Map<String, Member> members = new LinkedHashMap<>();

	// Records a heartbeat. Returns false if the demand that the host reported before is
	// needed as well, because this host does not know it.
	boolean recordHeartbeat(String address, boolean isWholeDemand, Map<DemandMeter.Key, DemandMeter.Rate> demand) {
		removeSilent();
		boolean isKnown = this.members.containsKey(address);
		Member member = this.members.computeIfAbsent(address, (key) -> new Member());
		if (isWholeDemand) {
			member.demand = new DemandRates();
		}
		member.demand.putAll(demand);
		member.lastSeenNanos = System.nanoTime();
		return isKnown || isWholeDemand;
	}

	// Adds the demand of all hosts to a map.
	void addDemand(Map<DemandMeter.Key, DemandMeter.Rate> total) {
		removeSilent();
		for (Member member : this.members.values()) {
			member.demand.current().forEach((key, rate) -> total.merge(key, rate, DemandMeter.Rate::plus));
		}
	}

	// Returns the addresses of the hosts, in the order of their first heartbeats.
	List<String> addresses() {
		removeSilent();
		return List.copyOf(this.members.keySet());
	}

	int count() {
		removeSilent();
		return this.members.size();
	}

	private void removeSilent() {
		long now = System.nanoTime();
		this.members.values().removeIf((member) -> now - member.lastSeenNanos > TIMEOUT_NANOS);
	}

	private static final class Member {

		private DemandRates demand = new DemandRates();

		private long lastSeenNanos;

	}

}
