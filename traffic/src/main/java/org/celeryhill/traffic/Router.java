package org.celeryhill.traffic;

import java.util.SplittableRandom;

import org.celeryhill.base.DataCentre;

/**
 * Selects the backend server for one attempt. Two random candidates, and those that have
 * a prefix of the prompt cached, are compared by the expected time to the first token.
 * The random choice keeps daemons that have the same outdated report from all selecting
 * the same server. Not thread-safe.
 */
final class Router {

	/** Number of candidates up to which all are compared. */
	private static final int EXHAUSTIVE_COMPARISON_LIMIT = 3;

	/** Additional time to reach another data centre, in seconds. */
	private static final double CROSS_DATA_CENTRE_SECONDS = 0.001;

	/**
	 * Part of the time left until the target by which a server in another data centre has
	 * to be faster. A caller whose response comes within the target is not served better
	 * by an earlier one, and a wait that is misjudged by this part puts no target at
	 * risk.
	 */
	private static final double FAR_TARGET_FRACTION = 0.1;

	/**
	 * Load of the best engine with the adapter above which engines without it are
	 * compared too.
	 */
	private static final double ADAPTER_SPILL_LOAD = 0.6;

	/** Load above which a backend server gets no hedge. */
	private static final double MAX_HEDGE_LOAD = 0.7;

	/** Source of the random choices. */
	private final SplittableRandom random;

	/** Data centre of the daemon. */
	private final DataCentre dataCentre;

	/** Cached prompt prefixes of the engines. */
	private final PrefixIndex prefixIndex;

	/** Expected time to load an adapter, in seconds. */
	private final double adapterLoadSeconds;

	/** Best candidate of the current selection, null if none has capacity. */
	private BackendState best;

	/** Expected time to the first token on the best candidate, in seconds. */
	private double bestFirstTokenSeconds;

	/** The same with the threshold of another data centre added. */
	private double bestCost;

	/** Request of the current selection. */
	private PendingRequest pending;

	/** Fraction of each limit that this daemon is entitled to. */
	private double share;

	/** Capacity tier that the request may use. */
	private CapacityTier tier;

	/** Level of urgent demand, from 0 to 1. */
	private double urgentDemand;

	/**
	 * Time by which a server in another data centre has to be faster, in seconds; at
	 * least the time to reach it.
	 */
	private double farSeconds;

	/** Whether servers of the service of the current selection state their pace. */
	private boolean isPaceStated;

	/** Whether the current selection is for a hedge. */
	private boolean isHedge;

	/**
	 * Creates a router.
	 * @param seed the seed of the random choices
	 * @param dataCentre the data centre of the daemon
	 * @param prefixIndex the cached prompt prefixes of the engines
	 * @param adapterLoadSeconds the expected time to load an adapter, in seconds
	 */
	Router(long seed, DataCentre dataCentre, PrefixIndex prefixIndex, double adapterLoadSeconds) {
		this.random = new SplittableRandom(seed);
		this.dataCentre = dataCentre;
		this.prefixIndex = prefixIndex;
		this.adapterLoadSeconds = adapterLoadSeconds;
	}

	/**
	 * Selects a backend server that has capacity for a request.
	 * @param pool the service of the request
	 * @param request the request
	 * @param allowedTier the capacity tier that the request may use
	 * @param limitShare the fraction of each limit that this daemon is entitled to
	 * @param forHedge whether another attempt of the request is already running
	 * @param now the current time in nanoseconds
	 * @return the backend server, null if none has capacity
	 */
	BackendState select(ServicePool pool, PendingRequest request, CapacityTier allowedTier, double limitShare,
			boolean forHedge, long now) {
		this.pending = request;
		this.share = limitShare;
		this.isHedge = forHedge;
		this.tier = allowedTier;
		this.urgentDemand = pool.urgentDemand(now);
		this.isPaceStated = pool.isPaceStated();
		this.farSeconds = this.isPaceStated ? farThresholdSeconds(request, now) : CROSS_DATA_CENTRE_SECONDS;
		this.best = null;
		this.bestCost = Double.MAX_VALUE;
		ModelRoute route = request.flow.route;
		this.prefixIndex.findMatches(route.model, request.request.prefixHashes());
		compareCandidates(pool.candidates(route), route, 0, now);
		if (route.base != null && (this.best == null || this.best.load() > ADAPTER_SPILL_LOAD)) {
			compareCandidates(pool.candidates(route.base), route.base, this.adapterLoadSeconds, now);
		}
		return this.best;
	}

	/**
	 * Returns the expected time to the first token on the server selected last.
	 * @return the time in seconds
	 */
	double expectedFirstTokenSeconds() {
		return this.bestFirstTokenSeconds;
	}

	private static double farThresholdSeconds(PendingRequest request, long now) {
		long waited = now - request.request.arrivedNanos();
		double left = Math.max(0, request.firstTokenTargetNanos - waited) / 1e9;
		return CROSS_DATA_CENTRE_SECONDS + FAR_TARGET_FRACTION * left;
	}

	private void compareCandidates(BackendState[] candidates, ModelRoute route, double extraSeconds, long now) {
		int count = candidates.length;
		if (count == 0) {
			return;
		}
		double effectiveShare = Math.min(1, this.share * route.usableCount / count);
		if (count <= EXHAUSTIVE_COMPARISON_LIMIT) {
			for (BackendState candidate : candidates) {
				evaluate(candidate, effectiveShare, extraSeconds, now);
			}
			return;
		}
		if (this.isPaceStated) {
			compareNearThenFar(candidates, route.nearCount, effectiveShare, extraSeconds, now);
			return;
		}
		int first = evaluateTwo(candidates, 0, count, effectiveShare, extraSeconds, now);
		if (this.prefixIndex.hasMatch()) {
			evaluateCached(candidates, effectiveShare, extraSeconds, now);
		}
		for (int i = 1; i < count && this.best == null; i++) {
			evaluate(candidates[(first + i) % count], effectiveShare, extraSeconds, now);
		}
	}

	// Compares two random servers in the data centre of this daemon and, unless one of
	// them is so fast that no other can be faster by the threshold, two in other data
	// centres. No request waits before all servers have been compared.
	private void compareNearThenFar(BackendState[] candidates, int nearCount, double effectiveShare,
			double extraSeconds, long now) {
		int count = candidates.length;
		evaluateTwo(candidates, 0, nearCount, effectiveShare, extraSeconds, now);
		if (this.prefixIndex.hasMatch()) {
			evaluateCached(candidates, effectiveShare, extraSeconds, now);
		}
		if (this.best == null || this.bestCost > this.farSeconds) {
			evaluateTwo(candidates, nearCount, count, effectiveShare, extraSeconds, now);
		}
		for (int i = 0; i < count && this.best == null; i++) {
			evaluate(candidates[i], effectiveShare, extraSeconds, now);
		}
	}

	// Evaluates two random candidates of a range and returns the index of the first.
	private int evaluateTwo(BackendState[] candidates, int from, int to, double effectiveShare, double extraSeconds,
			long now) {
		int count = to - from;
		if (count == 0) {
			return from;
		}
		int first = this.random.nextInt(count);
		evaluate(candidates[from + first], effectiveShare, extraSeconds, now);
		if (count > 1) {
			int second = this.random.nextInt(count - 1);
			second += (second >= first) ? 1 : 0;
			evaluate(candidates[from + second], effectiveShare, extraSeconds, now);
		}
		return from + first;
	}

	private void evaluateCached(BackendState[] candidates, double effectiveShare, double extraSeconds, long now) {
		for (BackendState candidate : candidates) {
			if (this.prefixIndex.cachedTokens(candidate) > 0) {
				evaluate(candidate, effectiveShare, extraSeconds, now);
			}
		}
	}

	private void evaluate(BackendState backend, double effectiveShare, double extraSeconds, long now) {
		if (!backend.isUsable() || this.pending.isAvoided(backend.id)
				|| (this.isHedge && backend.load() > MAX_HEDGE_LOAD)) {
			return;
		}
		int units = requiredUnits(backend);
		if (!backend.hasCapacity(units, this.tier, effectiveShare, this.urgentDemand, now)) {
			return;
		}
		int uncachedTokens = Math.max(1, this.pending.request.promptTokens() - this.prefixIndex.cachedTokens(backend));
		if (!backend.admitsPrompt(uncachedTokens)) {
			return;
		}
		// Daemons with the same outdated reports assume different loads, so that not all
		// of them select the same server.
		double position = this.isPaceStated ? this.random.nextDouble() : 0;
		double seconds = backend.expectedFirstTokenSeconds(uncachedTokens, units, position, now);
		if (extraSeconds > 0 && !backend.isAdapterAvailable(this.pending.flow.route.model, now)) {
			seconds += extraSeconds;
		}
		boolean isNear = this.dataCentre.equals(backend.dataCentre);
		double cost = isNear ? seconds : seconds + this.farSeconds;
		if (cost < this.bestCost) {
			this.best = backend;
			this.bestCost = cost;
			this.bestFirstTokenSeconds = isNear ? seconds : seconds + CROSS_DATA_CENTRE_SECONDS;
		}
	}

	/**
	 * Returns the units of the limit that the request of the last selection needs on a
	 * backend server.
	 * @param backend the backend server
	 * @return the estimated KV tokens for an engine, 1 for a plain service
	 */
	int requiredUnits(BackendState backend) {
		return (backend.report != null) ? this.pending.cost : 1;
	}

	/**
	 * Returns the prompt tokens that the engine selected last has to prefill.
	 * @return the tokens, at least 1
	 */
	int prefillTokens() {
		return Math.max(1, this.pending.request.promptTokens() - this.prefixIndex.cachedTokens(this.best));
	}

}
