package org.celeryhill.traffic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ObjDoubleConsumer;
import java.util.function.ToDoubleFunction;

import org.celeryhill.base.DataCentre;
import org.celeryhill.base.HostId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.UsageTotals;

/**
 * Usage of this daemon and of its peers. It yields the part of every limit that this
 * daemon is entitled to: each organisation's weight is divided among the daemons in
 * proportion to the organisation's recent usage through them. Not thread-safe.
 */
final class PeerUsage {

	/**
	 * Part of an organisation's weight that is divided evenly among its daemons, so that
	 * a daemon whose usage was pushed down can recover.
	 */
	private static final double EVEN_PART = 0.25;

	/** Rate below which an organisation counts as inactive, in tokens a second. */
	private static final double ACTIVE_RATE = 1;

	/** Own daemon. */
	private final HostId host;

	/** Data centre of the daemon. */
	private final DataCentre dataCentre;

	/** Start of the daemon. */
	private final String incarnation;

	/** Age after which a peer is ignored, in nanoseconds. */
	private final long maxAge;

	/** Own totals. */
	private final Map<UsageTotals.Key, Long> totals = new LinkedHashMap<>();

	/** Own rates by organisation. */
	private final Map<OrganisationId, RateEstimate> rates = new LinkedHashMap<>();

	/** Peers by host. */
	private final Map<HostId, Peer> peers = new LinkedHashMap<>();

	/** Publications so far. */
	private long sequence;

	/**
	 * Creates empty totals.
	 * @param host the own daemon
	 * @param dataCentre its data centre
	 * @param incarnation the start of the daemon
	 * @param maxAge the age after which a peer is ignored, in nanoseconds
	 */
	PeerUsage(HostId host, DataCentre dataCentre, String incarnation, long maxAge) {
		this.host = host;
		this.dataCentre = dataCentre;
		this.incarnation = incarnation;
		this.maxAge = maxAge;
	}

	/**
	 * Counts own work.
	 * @param key the organisation and class
	 * @param tokens the estimated tokens
	 * @param now the time in nanoseconds
	 */
	void add(UsageTotals.Key key, long tokens, long now) {
		this.totals.merge(key, tokens, Long::sum);
		this.rates.computeIfAbsent(key.organisation(), (id) -> new RateEstimate()).add(tokens, now);
	}

	/**
	 * Returns the totals to publish.
	 * @return the totals
	 */
	UsageTotals publish() {
		this.sequence++;
		return new UsageTotals(this.host, this.dataCentre, this.incarnation, this.sequence, this.totals);
	}

	/**
	 * Takes note of a peer's totals; repeated and old ones are ignored.
	 * @param next the totals
	 * @param now the time in nanoseconds
	 * @param charge called with each organisation and class and its new tokens
	 */
	void observe(UsageTotals next, long now, ObjDoubleConsumer<UsageTotals.Key> charge) {
		if (next.host().equals(this.host)) {
			return;
		}
		Peer peer = this.peers.get(next.host());
		if (peer == null) {
			peer = new Peer();
			this.peers.put(next.host(), peer);
			peer.accept(next, now, false, charge);
			return;
		}
		boolean isRestarted = !peer.latest.incarnation().equals(next.incarnation());
		if (isRestarted || next.sequence() > peer.latest.sequence()) {
			peer.accept(next, now, true, charge);
		}
	}

	/**
	 * Returns the part of every limit that this daemon is entitled to.
	 * @param weight the weight of an organisation
	 * @param now the time in nanoseconds
	 * @return the part, between 0 and 1
	 */
	double share(ToDoubleFunction<OrganisationId> weight, long now) {
		this.peers.values().removeIf((peer) -> now - peer.seen > this.maxAge);
		if (this.peers.isEmpty()) {
			return 1;
		}
		Map<OrganisationId, double[]> sums = new LinkedHashMap<>();
		collect(this.rates, sums, now, true);
		for (Peer peer : this.peers.values()) {
			collect(peer.rates, sums, now, false);
		}
		double weights = 0;
		double part = 0;
		for (Map.Entry<OrganisationId, double[]> entry : sums.entrySet()) {
			double one = weight.applyAsDouble(entry.getKey());
			double[] sum = entry.getValue();
			weights += one;
			if (sum[0] > 0) {
				part += one * ((1 - EVEN_PART) * sum[0] / sum[1] + EVEN_PART / sum[2]);
			}
		}
		double even = 1.0 / (this.peers.size() + 1);
		return (weights > 0) ? Math.max(0.25 * even, part / weights) : even;
	}

	private static void collect(Map<OrganisationId, RateEstimate> rates, Map<OrganisationId, double[]> sums, long now,
			boolean isOwn) {
		for (Map.Entry<OrganisationId, RateEstimate> entry : rates.entrySet()) {
			double rate = entry.getValue().perSecond(now);
			if (rate > ACTIVE_RATE) {
				double[] sum = sums.computeIfAbsent(entry.getKey(), (id) -> new double[3]);
				sum[0] += isOwn ? rate : 0;
				sum[1] += rate;
				sum[2]++;
			}
		}
	}

	/**
	 * Returns the peers that are not too old.
	 * @return the number
	 */
	int peerCount() {
		return this.peers.size();
	}

	private static final class Peer {

		/** Latest totals. */
		private UsageTotals latest;

		/** When they arrived, in nanoseconds. */
		private long seen;

		/** Rates by organisation. */
		private final Map<OrganisationId, RateEstimate> rates = new LinkedHashMap<>();

		private void accept(UsageTotals next, long now, boolean isCharged, ObjDoubleConsumer<UsageTotals.Key> charge) {
			Map<UsageTotals.Key, Long> before = Map.of();
			if (this.latest != null && this.latest.incarnation().equals(next.incarnation())) {
				before = this.latest.tokens();
			}
			this.latest = next;
			this.seen = now;
			if (isCharged) {
				for (UsageTotals.Key key : ordered(next.tokens().keySet())) {
					long more = Math.max(0, next.tokens().get(key) - before.getOrDefault(key, 0L));
					this.rates.computeIfAbsent(key.organisation(), (one) -> new RateEstimate()).add(more, now);
					charge.accept(key, more);
				}
			}
		}

		// The order of the keys decides rounding, so it must be the same in every run.
		private static List<UsageTotals.Key> ordered(Set<UsageTotals.Key> keys) {
			List<UsageTotals.Key> ordered = new ArrayList<>(keys);
			ordered.sort(Comparator.comparing(UsageTotals.Key::organisation).thenComparing(UsageTotals.Key::priority));
			return ordered;
		}

	}

}
