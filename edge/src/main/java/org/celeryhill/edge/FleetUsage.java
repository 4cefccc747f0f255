package org.celeryhill.edge;

import java.util.HashMap;
import java.util.Map;
import java.util.UUID;

import org.celeryhill.base.DataCentre;
import org.celeryhill.base.HostId;
import org.celeryhill.base.UsageTotals;

/**
 * Sums the usage totals that hosts report. Each host receives the sum over the others, so
 * that the size of a message does not depend on the number of hosts. The sums never
 * decrease while this process runs. Must be used on the event loop.
 */
final class FleetUsage {

	private final Map<HostId, HostUsage> hosts = new HashMap<>();

	private final Map<UsageTotals.Key, Long> fleetTokens = new HashMap<>();

	private final HostId ownHost;

	private final DataCentre dataCentre;

	private final String incarnation = UUID.randomUUID().toString().substring(0, 8);

	private long sequence;

	FleetUsage(HostId ownHost, DataCentre dataCentre) {
		this.ownHost = ownHost;
		this.dataCentre = dataCentre;
	}

	// Adds what a host has used since its earlier totals. The first totals of a host add
	// nothing, as they may cover a time for which another process reported the sums.
	void record(UsageTotals totals) {
		HostUsage usage = this.hosts.get(totals.host());
		if (usage == null) {
			this.hosts.put(totals.host(), new HostUsage(totals));
			return;
		}
		boolean isRestarted = !usage.latest.incarnation().equals(totals.incarnation());
		if (!isRestarted && totals.sequence() <= usage.latest.sequence()) {
			return;
		}
		Map<UsageTotals.Key, Long> before = isRestarted ? Map.of() : usage.latest.tokens();
		totals.tokens().forEach((key, tokens) -> {
			long added = Math.max(0, tokens - before.getOrDefault(key, 0L));
			this.fleetTokens.merge(key, added, Long::sum);
			usage.tokens.merge(key, added, Long::sum);
		});
		usage.latest = totals;
	}

	// Returns the sum over all hosts but one.
	UsageTotals sumWithout(HostId host) {
		Map<UsageTotals.Key, Long> tokens = new HashMap<>(this.fleetTokens);
		HostUsage usage = this.hosts.get(host);
		if (usage != null) {
			usage.tokens.forEach((key, own) -> tokens.merge(key, -own, Long::sum));
		}
		return new UsageTotals(this.ownHost, this.dataCentre, this.incarnation, ++this.sequence, tokens);
	}

	private static final class HostUsage {

		private final Map<UsageTotals.Key, Long> tokens = new HashMap<>();

		private UsageTotals latest;

		HostUsage(UsageTotals first) {
			this.latest = first;
		}

	}

}
