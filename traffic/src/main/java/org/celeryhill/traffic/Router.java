package org.celeryhill.traffic;

import java.util.SplittableRandom;

import org.celeryhill.base.DataCentre;

/**
 * Chooses the backend server for one attempt. Two candidates drawn at random, and the
 * ones that have the prompt's prefix cached, are compared by the expected time to the
 * first token, so that daemons with the same stale report do not all choose the same
 * server. Not thread-safe.
 */
final class Router {

	/** Candidates up to which all are compared. */
	private static final int COMPARE_ALL = 3;

	/** Time to reach another data centre, in seconds. */
	private static final double OTHER_DATA_CENTRE = 0.001;

	/** Load from which an engine without the adapter is compared as well. */
	private static final double SPILL_LOAD = 0.6;

	/** Load of a backend server above which it gets no hedge. */
	private static final double HEDGE_LOAD = 0.7;

	/** Source of the random choices. */
	private final SplittableRandom random;

	/** Data centre of the daemon. */
	private final DataCentre dataCentre;

	/** Cached prompt prefixes. */
	private final PrefixIndex prefixes;

	/** Expected time to load an adapter, in seconds. */
	private final double adapterLoad;

	/** Best candidate of the comparison. */
	private BackendState best;

	/** Expected time to the first token of the best candidate, in seconds. */
	private double bestSeconds;

	/** Request of the comparison. */
	private PendingRequest pending;

	/** Part of each limit that the daemon is entitled to. */
	private double share;

	/** Part of each limit that may be filled. */
	private Room room;

	/** How common urgent requests are, from 0 to 1. */
	private double urgency;

	/** Whether the comparison is for a hedge. */
	private boolean isHedge;

	/**
	 * Creates a router.
	 * @param seed the seed of the random choices
	 * @param dataCentre the data centre of the daemon
	 * @param prefixes the cached prefixes
	 * @param adapterLoad the expected time to load an adapter, in seconds
	 */
	Router(long seed, DataCentre dataCentre, PrefixIndex prefixes, double adapterLoad) {
		this.random = new SplittableRandom(seed);
		this.dataCentre = dataCentre;
		this.prefixes = prefixes;
		this.adapterLoad = adapterLoad;
	}

	/**
	 * Chooses a backend server with room.
	 * @param pool the service
	 * @param request the request
	 * @param room the part of each limit that may be filled
	 * @param part the part of the limits that this daemon is entitled to
	 * @param hedge whether another attempt runs already
	 * @param now the time in nanoseconds
	 * @return the backend server, null if none has room
	 */
	BackendState choose(ServicePool pool, PendingRequest request, Room room, double part, boolean hedge, long now) {
		this.pending = request;
		this.share = part;
		this.isHedge = hedge;
		this.room = room;
		this.urgency = pool.urgency(now);
		this.best = null;
		this.bestSeconds = Double.MAX_VALUE;
		ModelRoute route = request.flow.route;
		this.prefixes.match(route.model, request.request.prefixHashes());
		compare(pool.candidates(route), route.total, 0, now);
		if (route.base != null && (this.best == null || this.best.load() > SPILL_LOAD)) {
			compare(pool.candidates(route.base), route.base.total, this.adapterLoad, now);
		}
		return this.best;
	}

	/**
	 * Returns the expected time to the first token of the last choice.
	 * @return the time in seconds
	 */
	double expectedSeconds() {
		return this.bestSeconds;
	}

	private void compare(BackendState[] candidates, int total, double extra, long now) {
		int count = candidates.length;
		if (count == 0) {
			return;
		}
		double part = Math.min(1, this.share * total / count);
		if (count <= COMPARE_ALL) {
			for (BackendState one : candidates) {
				consider(one, part, extra, now);
			}
			return;
		}
		int first = this.random.nextInt(count);
		int second = this.random.nextInt(count - 1);
		second += (second >= first) ? 1 : 0;
		consider(candidates[first], part, extra, now);
		consider(candidates[second], part, extra, now);
		if (this.prefixes.hasMatch()) {
			considerCached(candidates, part, extra, now);
		}
		for (int i = 1; i < count && this.best == null; i++) {
			consider(candidates[(first + i) % count], part, extra, now);
		}
	}

	private void considerCached(BackendState[] candidates, double part, double extra, long now) {
		for (BackendState one : candidates) {
			if (this.prefixes.cachedTokens(one) > 0) {
				consider(one, part, extra, now);
			}
		}
	}

	private void consider(BackendState one, double part, double extra, long now) {
		if (!one.isUsable() || this.pending.isAvoided(one.id) || (this.isHedge && one.load() > HEDGE_LOAD)) {
			return;
		}
		int units = units(one);
		if (!one.hasRoom(units, this.room, part, this.urgency, now)) {
			return;
		}
		int prefill = Math.max(1, this.pending.request.promptTokens() - this.prefixes.cachedTokens(one));
		if (!one.admitsPrompt(prefill)) {
			return;
		}
		double seconds = one.expectedSeconds(prefill);
		if (extra > 0 && !one.isAdapterExpected(this.pending.flow.route.model, now)) {
			seconds += extra;
		}
		if (!this.dataCentre.equals(one.dataCentre)) {
			seconds += OTHER_DATA_CENTRE;
		}
		if (seconds < this.bestSeconds) {
			this.best = one;
			this.bestSeconds = seconds;
		}
	}

	/**
	 * Returns the units of the limit that the request takes.
	 * @param backend the backend server
	 * @return the KV tokens for an engine, 1 for a plain service
	 */
	int units(BackendState backend) {
		return (backend.report != null) ? this.pending.cost : 1;
	}

	/**
	 * Returns the prompt tokens that the chosen engine has to prefill.
	 * @return the tokens
	 */
	int prefill() {
		return Math.max(1, this.pending.request.promptTokens() - this.prefixes.cachedTokens(this.best));
	}

}
