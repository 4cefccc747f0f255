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
 * Usage of this daemon and of the other entry daemons, its peers. It determines which
 * fraction of every limit this daemon is entitled to: the weight of each organisation is
 * divided among the daemons in proportion to the organisation's recent usage through
 * them. Not thread-safe.
 */
final class UsageTracker {

	/**
	 * Fraction of an organisation's weight that is divided evenly among the daemons it
	 * uses. It lets a daemon recover whose usage has been displaced by that of others.
	 */
	private static final double EVEN_FRACTION = 0.25;

	/**
	 * Rate up to which an organisation counts as inactive on a daemon, in tokens per
	 * second.
	 */
	private static final double MIN_ACTIVE_TOKENS_PER_SECOND = 1;

	/** Host of this daemon. */
	private final HostId host;

	/** Data centre of this daemon. */
	private final DataCentre dataCentre;

	/** Incarnation of this daemon. */
	private final String incarnation;

	/** Age after which a peer is dropped, in nanoseconds. */
	private final long maxAgeNanos;

	/** Usage totals of this daemon. */
	private final Map<UsageTotals.Key, Long> ownTotals = new LinkedHashMap<>();

	/** Usage rates of this daemon by organisation. */
	private final Map<OrganisationId, RateEstimate> ownRates = new LinkedHashMap<>();

	/** Peers by host. */
	private final Map<HostId, Peer> peers = new LinkedHashMap<>();

	/** Peers that one of them reports as a sum, null if there is none. */
	private Peer group;

	/** Number of publications so far. */
	private long sequence;

	/**
	 * Creates a tracker without usage and peers.
	 * @param host the host of this daemon
	 * @param dataCentre the data centre of this daemon
	 * @param incarnation the incarnation of this daemon
	 * @param maxAgeNanos the age after which a peer is dropped, in nanoseconds
	 */
	UsageTracker(HostId host, DataCentre dataCentre, String incarnation, long maxAgeNanos) {
		this.host = host;
		this.dataCentre = dataCentre;
		this.incarnation = incarnation;
		this.maxAgeNanos = maxAgeNanos;
	}

	/**
	 * Adds usage through this daemon.
	 * @param key the organisation and class
	 * @param tokens the estimated tokens
	 * @param now the current time in nanoseconds
	 */
	void addOwnUsage(UsageTotals.Key key, long tokens, long now) {
		this.ownTotals.merge(key, tokens, Long::sum);
		this.ownRates.computeIfAbsent(key.organisation(), (id) -> new RateEstimate()).add(tokens, now);
	}

	/**
	 * Returns the usage totals to publish, with the next sequence number.
	 * @return the totals
	 */
	UsageTotals nextTotals() {
		this.sequence++;
		return new UsageTotals(this.host, this.dataCentre, this.incarnation, this.sequence, this.ownTotals);
	}

	/**
	 * Records the usage totals of a peer. Repeated and outdated totals and those of this
	 * daemon are ignored. The first totals of a peer are not charged, because they cover
	 * its usage before this daemon knew it.
	 * @param next the totals
	 * @param now the current time in nanoseconds
	 * @param charge called with each organisation and class and the tokens added since
	 * the previous totals
	 */
	void recordPeerTotals(UsageTotals next, long now, ObjDoubleConsumer<UsageTotals.Key> charge) {
		if (next.host().equals(this.host)) {
			return;
		}
		Peer peer = this.peers.get(next.host());
		if (peer == null) {
			peer = new Peer();
			this.peers.put(next.host(), peer);
			peer.update(next, now, false, charge);
			return;
		}
		boolean isRestarted = !peer.latest.incarnation().equals(next.incarnation());
		if (isRestarted || next.sequence() > peer.latest.sequence()) {
			peer.update(next, now, true, charge);
		}
	}

	/**
	 * Records the sum of the usage totals of several peers, which one daemon reports. A
	 * sum that another daemon reports replaces it. The first totals of a reporting daemon
	 * are not charged. Repeated and outdated totals are ignored.
	 * @param next the sum; its host and incarnation are those of the reporting daemon
	 * @param daemons the number of peers in the sum
	 * @param now the current time in nanoseconds
	 * @param charge called with each organisation and class and the tokens added since
	 * the previous totals
	 */
	void recordGroupTotals(UsageTotals next, int daemons, long now, ObjDoubleConsumer<UsageTotals.Key> charge) {
		if (this.group == null) {
			this.group = new Peer();
		}
		UsageTotals latest = this.group.latest;
		boolean isSameReporter = latest != null && latest.host().equals(next.host())
				&& latest.incarnation().equals(next.incarnation());
		if (!isSameReporter || next.sequence() > latest.sequence()) {
			this.group.daemons = daemons;
			this.group.update(next, now, isSameReporter, charge);
		}
	}

	/**
	 * Drops outdated peers and returns the fraction of every limit that this daemon is
	 * entitled to.
	 * @param weight returns the weight of an organisation
	 * @param now the current time in nanoseconds
	 * @return the fraction, at least a quarter of an even split, between 0 and 1
	 */
	double share(ToDoubleFunction<OrganisationId> weight, long now) {
		dropOutdatedPeers(now);
		int peerDaemons = peerCount();
		if (peerDaemons == 0) {
			return 1;
		}
		Map<OrganisationId, double[]> sums = new LinkedHashMap<>();
		addRates(this.ownRates, sums, now, 1);
		// The sums contain only the rates of this daemon so far.
		for (Map.Entry<OrganisationId, double[]> own : sums.entrySet()) {
			own.getValue()[0] = own.getValue()[1];
		}
		for (Peer peer : this.peers.values()) {
			addRates(peer.rates, sums, now, peer.daemons);
		}
		if (this.group != null) {
			addRates(this.group.rates, sums, now, this.group.daemons);
		}
		double weights = 0;
		double weightedShare = 0;
		for (Map.Entry<OrganisationId, double[]> entry : sums.entrySet()) {
			double organisationWeight = weight.applyAsDouble(entry.getKey());
			double[] sum = entry.getValue();
			weights += organisationWeight;
			if (sum[0] > 0) {
				weightedShare += organisationWeight * ((1 - EVEN_FRACTION) * sum[0] / sum[1] + EVEN_FRACTION / sum[2]);
			}
		}
		double evenShare = 1.0 / (peerDaemons + 1);
		return (weights > 0) ? Math.max(0.25 * evenShare, weightedShare / weights) : evenShare;
	}

	private void dropOutdatedPeers(long now) {
		this.peers.values().removeIf((peer) -> now - peer.receivedNanos > this.maxAgeNanos);
		if (this.group != null && now - this.group.receivedNanos > this.maxAgeNanos) {
			this.group = null;
		}
	}

	// Adds the rates of some daemons to the sums of each active organisation: the rate
	// through this daemon, the rate through all daemons and the number of daemons.
	private static void addRates(Map<OrganisationId, RateEstimate> rates, Map<OrganisationId, double[]> sums, long now,
			int daemons) {
		for (Map.Entry<OrganisationId, RateEstimate> entry : rates.entrySet()) {
			double rate = entry.getValue().perSecond(now);
			if (rate > MIN_ACTIVE_TOKENS_PER_SECOND) {
				double[] sum = sums.computeIfAbsent(entry.getKey(), (id) -> new double[3]);
				sum[1] += rate;
				sum[2] += daemons;
			}
		}
	}

	/**
	 * Returns the number of peers that were not outdated at the latest call of
	 * {@link #share}.
	 * @return the number
	 */
	int peerCount() {
		return this.peers.size() + ((this.group != null) ? this.group.daemons : 0);
	}

	private static final class Peer {

		/** Latest usage totals. */
		private UsageTotals latest;

		/** When the latest totals arrived, in nanoseconds. */
		private long receivedNanos;

		/** Number of daemons whose usage the totals contain. */
		private int daemons = 1;

		/** Usage rates by organisation. */
		private final Map<OrganisationId, RateEstimate> rates = new LinkedHashMap<>();

		private void update(UsageTotals next, long now, boolean isCharged, ObjDoubleConsumer<UsageTotals.Key> charge) {
			Map<UsageTotals.Key, Long> previousTokens = Map.of();
			if (this.latest != null && this.latest.incarnation().equals(next.incarnation())) {
				previousTokens = this.latest.tokens();
			}
			this.latest = next;
			this.receivedNanos = now;
			if (isCharged) {
				for (UsageTotals.Key key : sort(next.tokens().keySet())) {
					long addedTokens = Math.max(0, next.tokens().get(key) - previousTokens.getOrDefault(key, 0L));
					this.rates.computeIfAbsent(key.organisation(), (id) -> new RateEstimate()).add(addedTokens, now);
					charge.accept(key, addedTokens);
				}
			}
		}

		// The order of the keys determines rounding errors, so it must not depend on the
		// iteration order of a hash map.
		private static List<UsageTotals.Key> sort(Set<UsageTotals.Key> keys) {
			List<UsageTotals.Key> ordered = new ArrayList<>(keys);
			ordered.sort(Comparator.comparing(UsageTotals.Key::organisation).thenComparing(UsageTotals.Key::priority));
			return ordered;
		}

	}

}
