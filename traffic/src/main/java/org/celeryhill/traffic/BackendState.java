package org.celeryhill.traffic;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.ModelId;
import org.celeryhill.port.EngineReport;

/**
 * State of one backend server as this daemon knows it: the latest report, which lags
 * behind, and the daemon's own attempts. Load is counted in units: KV tokens for an
 * engine, calls for a plain service. Not thread-safe.
 */
final class BackendState {

	/**
	 * Largest fraction of the KV cache that is planned for; the rest absorbs wrong
	 * estimates.
	 */
	private static final double MAX_KV_FRACTION = 0.95;

	/** Fraction of the limit at the beginning of a slow start. */
	private static final double SLOW_START_INITIAL_FRACTION = 0.2;

	/** Prefill rate assumed until a report contains one, in tokens per second. */
	private static final double DEFAULT_PREFILL_TOKENS_PER_SECOND = 8000;

	/**
	 * Prompt tokens assumed for each request of other daemons that is queued in the
	 * engine.
	 */
	private static final int ASSUMED_PROMPT_TOKENS = 400;

	/**
	 * Time after the send of a request during which its adapter is assumed to be loaded,
	 * in nanoseconds.
	 */
	private static final long ADAPTER_ASSUMED_LOADED_NANOS = 2_000_000_000L;

	/** Service time of a plain service before any call has ended, in seconds. */
	private static final double INITIAL_SERVICE_SECONDS = 0.05;

	/** Id of the backend server. */
	final BackendServerId id;

	/** Index of the backend server within its service; it is never reused. */
	final int index;

	/** Limit of the KV tokens in use, applied to engines only. */
	final ConcurrencyLimit concurrencyLimit = new ConcurrencyLimit();

	/** Limit of the prompt tokens waiting for prefill, applied to engines only. */
	final PrefillQueueLimit prefillQueueLimit;

	/** Pace and measured speed of the server. */
	final ServerSpeed speed;

	/** Load that other daemons have on the server. */
	final ReportedLoad otherLoad;

	/** Data centre that the server runs in. */
	DataCentre dataCentre;

	/**
	 * Latest report of the engine, null for a plain service or before the first report.
	 */
	EngineReport report;

	/** Whether the server is reachable and not leaving, without regard to suspicion. */
	boolean isAcceptingWork;

	/** Whether the server was removed from the service. */
	boolean isRemoved;

	/** Failures since the last completed attempt. */
	int consecutiveFailures;

	/** Time until which the server is suspect, in nanoseconds. */
	long suspectUntilNanos = Long.MIN_VALUE;

	/** When the server became suspect last, in nanoseconds. */
	long suspectedNanos;

	/** Whether the server became suspect and has not been readmitted yet. */
	boolean isSuspect;

	/** Whether the server has asked for no requests until {@link #pausedUntilNanos}. */
	boolean isPaused;

	/** End of the latest pause that the server asked for, in nanoseconds. */
	long pausedUntilNanos;

	/** Rendezvous hash of the server and this daemon. */
	final long rendezvousHash;

	/** Number of restarts of the engine, each of which loses the prompt prefix cache. */
	int cacheEpoch;

	/** Length of a slow start, in nanoseconds. */
	private final long slowStartNanos;

	/** Beginning of the latest slow start, in nanoseconds. */
	private long slowStartBeganNanos;

	/** Whether a slow start is in progress. */
	private boolean isSlowStarting;

	/** Models and adapters that are loaded and can serve requests. */
	private Set<ModelId> ready = Set.of();

	/**
	 * Adapters that sent requests have caused to load, with the time until which they are
	 * assumed to be loaded, in nanoseconds.
	 */
	private final Map<ModelId, Long> assumedAdapters = new HashMap<>();

	/** Calls that a plain service can run at once. */
	private int capacity;

	/** Requests of other daemons queued in the engine according to the latest report. */
	private int otherDaemonQueued;

	/** Free units when the latest report arrived. */
	private double freeUnitsAtReport;

	/**
	 * Units of the attempts sent since the latest report arrived, less those that ended.
	 */
	private long unitsSinceReport;

	/** Units held by attempts of this daemon. */
	private long ownUnits;

	/** KV tokens that attempts of this daemon use now. */
	private long ownKvTokens;

	/** Running attempts of this daemon. */
	private int ownAttemptCount;

	/** Running attempts of this daemon without a first token. */
	private int ownAwaitingFirstToken;

	/** Prompt tokens to prefill for attempts of this daemon without a first token. */
	private long ownPrefillTokens;

	/**
	 * Creates the state of a backend server before its first report.
	 * @param id the backend server
	 * @param index the index within the service
	 * @param rendezvousHash the rendezvous hash of the server and this daemon
	 * @param slowStartNanos the length of a slow start, in nanoseconds
	 * @param maxFirstTokenWaitNanos the target for the wait from a send to the first
	 * token, in nanoseconds, 0 for no limit on waiting prompts
	 * @param speed the pace and measured speed of the server
	 */
	BackendState(BackendServerId id, int index, long rendezvousHash, long slowStartNanos, long maxFirstTokenWaitNanos,
			ServerSpeed speed) {
		this.speed = speed;
		this.otherLoad = new ReportedLoad(speed);
		this.id = id;
		this.index = index;
		this.rendezvousHash = rendezvousHash;
		this.slowStartNanos = slowStartNanos;
		this.prefillQueueLimit = new PrefillQueueLimit(maxFirstTokenWaitNanos);
	}

	/**
	 * Applies the latest state of the backend server.
	 * @param view the latest state
	 * @param now the current time in nanoseconds
	 * @return true if the ready models or the eligibility for new work changed
	 */
	boolean update(BackendView view, long now) {
		this.otherLoad.observe(view, now);
		boolean isAccepting = view.isReachable() && !view.isLeaving()
				&& view.report()
					.map((engineReport) -> !engineReport.isLeaving()
							&& EngineReport.Role.STARTING.contains(engineReport.role()))
					.orElse(true);
		boolean isChanged = isAccepting != this.isAcceptingWork;
		this.isAcceptingWork = isAccepting;
		this.dataCentre = view.dataCentre();
		if (view.report().isPresent()) {
			isChanged |= updateEngine(view.report().get(), now);
		}
		else {
			updatePlainService(view, now);
		}
		return isChanged;
	}

	private boolean updateEngine(EngineReport next, long now) {
		EngineReport previous = this.report;
		this.report = next;
		if (previous != null && previous.sequence() == next.sequence()
				&& previous.incarnation().equals(next.incarnation())) {
			return false;
		}
		if (this.otherLoad.isCurrent()) {
			updateEngineLoad(next, now);
		}
		renewFreeUnits(now);
		if (previous != null && previous.residents().equals(next.residents())) {
			return false;
		}
		Set<ModelId> models = new HashSet<>();
		for (EngineReport.Resident resident : next.residents()) {
			if (resident.state() == EngineReport.ResidentState.READY) {
				models.add(resident.model());
			}
		}
		boolean isChanged = !models.equals(this.ready);
		this.ready = models;
		return isChanged;
	}

	private void updateEngineLoad(EngineReport next, long now) {
		this.otherLoad.set(Math.max(0, next.kvTokensUsed() - ownTokens(next)), now);
		this.otherDaemonQueued = Math.max(0, next.queued() - this.ownAwaitingFirstToken);
		if (next.queued() > this.ownAwaitingFirstToken && next.kvTokensCapacity() > 0) {
			this.concurrencyLimit.lowerTo((double) next.kvTokensUsed() / next.kvTokensCapacity());
		}
	}

	// Returns the tokens in a report that belong to attempts of this daemon. Those
	// without a first token have no known tokens yet, but an engine that states its pace
	// counts them among its running requests.
	private long ownTokens(EngineReport next) {
		if (!this.speed.isStated() || next.running() == 0) {
			return this.ownKvTokens;
		}
		int own = Math.min(next.running(), this.ownAttemptCount);
		return Math.max(this.ownKvTokens, next.kvTokensUsed() * own / next.running());
	}

	// Each state renews what is expected to be free, whether it has a new load or not, as
	// the requests of other daemons end in the meantime.
	private void renewFreeUnits(long now) {
		this.freeUnitsAtReport = limitUnits() - this.otherLoad.units(now) - this.ownUnits;
		this.unitsSinceReport = 0;
	}

	private void updatePlainService(BackendView view, long now) {
		this.capacity = view.capacity();
		if (this.otherLoad.isCurrent()) {
			this.otherLoad.set(Math.max(0, view.running() - this.ownAttemptCount), now);
		}
		renewFreeUnits(now);
	}

	/**
	 * Returns whether the server became suspect after an attempt was sent to it. A
	 * failure of that attempt then says nothing new.
	 * @param sentNanos when the attempt was sent, in nanoseconds
	 * @return true if the server is suspect for a later failure
	 */
	boolean wasSuspectedAfter(long sentNanos) {
		return this.isSuspect && this.suspectedNanos - sentNanos > 0;
	}

	/**
	 * Forgets the failures of an earlier process, so that the server is readmitted.
	 * @param now the current time in nanoseconds
	 */
	void forgetFailures(long now) {
		this.consecutiveFailures = 0;
		this.suspectUntilNanos = Math.min(this.suspectUntilNanos, now);
	}

	/**
	 * Returns whether the engine has restarted since its last known report.
	 * @param view the latest state
	 * @return true if both reports exist and their incarnations differ
	 */
	boolean hasRestarted(BackendView view) {
		return this.report != null && view.report().isPresent()
				&& !this.report.incarnation().equals(view.report().get().incarnation());
	}

	/**
	 * Begins a slow start.
	 * @param now the current time in nanoseconds
	 */
	void beginSlowStart(long now) {
		this.isSlowStarting = true;
		this.slowStartBeganNanos = now;
	}

	/**
	 * Returns whether a model is loaded and can serve requests.
	 * @param model the model or adapter
	 * @return true if the latest report lists it as ready
	 */
	boolean isReady(ModelId model) {
		return this.ready.contains(model);
	}

	/**
	 * Returns the models and adapters that are loaded and can serve requests.
	 * @return the set, which is replaced rather than modified when it changes
	 */
	Set<ModelId> ready() {
		return this.ready;
	}

	/**
	 * Returns whether an adapter is loaded or assumed to be loaded because a request for
	 * it was sent recently.
	 * @param adapter the adapter
	 * @param now the current time in nanoseconds
	 * @return true if a request needs not wait for the adapter to load
	 */
	boolean isAdapterAvailable(ModelId adapter, long now) {
		if (this.ready.contains(adapter)) {
			return true;
		}
		Long until = this.assumedAdapters.get(adapter);
		return until != null && until > now;
	}

	/**
	 * Records that a request has caused the engine to load an adapter.
	 * @param adapter the adapter
	 * @param now the current time in nanoseconds
	 */
	void assumeAdapterLoaded(ModelId adapter, long now) {
		this.assumedAdapters.put(adapter, now + ADAPTER_ASSUMED_LOADED_NANOS);
		if (this.assumedAdapters.size() > 256) {
			this.assumedAdapters.values().removeIf((until) -> until <= now);
		}
	}

	/**
	 * Returns whether the server may get new work.
	 * @return false if it is unreachable, leaving, suspect, paused or removed
	 */
	boolean isUsable() {
		return this.isAcceptingWork && !this.isSuspect && !this.isPaused && !this.isRemoved;
	}

	/**
	 * Returns whether the server has capacity for an attempt. This daemon may always use
	 * its own share of the limit. Beyond the share, an attempt may be sent while the
	 * limit is not reached and the daemon has used less than its share of the units that
	 * were free at the latest report.
	 * @param units the units that the attempt needs
	 * @param tier the capacity tier that the request may use
	 * @param share the fraction of the limit that this daemon is entitled to
	 * @param urgentDemand the level of urgent demand, from 0 to 1
	 * @param now the current time in nanoseconds
	 * @return true if the attempt may be sent
	 */
	boolean hasCapacity(long units, CapacityTier tier, double share, double urgentDemand, long now) {
		double fraction = tier.fraction(urgentDemand) * slowStartFraction(now);
		double allowedUnits = limitUnits() * fraction;
		double usedUnits = this.otherLoad.units(now) + this.ownUnits;
		if (this.ownAttemptCount > 0 && usedUnits + units > maxUnits()) {
			return false;
		}
		if (this.ownUnits < share * allowedUnits) {
			return true;
		}
		return usedUnits < allowedUnits && this.unitsSinceReport < share * this.freeUnitsAtReport;
	}

	/**
	 * Returns whether another prompt may wait for prefill in the engine.
	 * @param prefillTokens the tokens of the prompt that are not cached
	 * @return true if it may, always for a plain service
	 */
	boolean admitsPrompt(int prefillTokens) {
		return this.report == null
				|| this.prefillQueueLimit.allows(this.ownAwaitingFirstToken, this.ownPrefillTokens, prefillTokens);
	}

	/**
	 * Returns the expected time to the first token of a new attempt, or to the response
	 * of a plain service. For a plain service whose servers don't state their pace the
	 * load is returned instead, which orders its servers in the same way.
	 * @param prefillTokens the prompt tokens that are not cached
	 * @param units the units that the attempt needs
	 * @param position the position among the loads that are possible in view of an
	 * outdated report, from 0 for the lowest to 1 for the highest; without effect for a
	 * server that doesn't state its pace
	 * @param now the current time in nanoseconds
	 * @return the time in seconds
	 */
	double expectedFirstTokenSeconds(int prefillTokens, int units, double position, long now) {
		double load = this.otherLoad.possibleLoad(load(now), units, Math.max(1, limitUnits()), position, now);
		if (this.report == null && !this.speed.isStated()) {
			return load;
		}
		double unit = this.speed.serviceFactor((this.report == null) ? INITIAL_SERVICE_SECONDS : 1);
		return baseTime(prefillTokens, load, now) * unit * this.speed.factor(now);
	}

	private double load(long now) {
		return (this.otherLoad.units(now) + this.ownUnits) / Math.max(1, limitUnits());
	}

	// Returns the time on a server of average speed, in seconds for an engine and in
	// service times for a plain service. The load is squared so that a server at half
	// load is hardly penalised.
	private double baseTime(int prefillTokens, double load, long now) {
		if (this.report == null) {
			return this.speed.pace(now) * (1 + load * load);
		}
		double rate = (this.report.prefillTokensPerSecond() > 0) ? this.report.prefillTokensPerSecond()
				: DEFAULT_PREFILL_TOKENS_PER_SECOND;
		double waiting = this.ownPrefillTokens + (double) this.otherDaemonQueued * ASSUMED_PROMPT_TOKENS;
		// A full batch slows prefill down.
		double seconds = (waiting + prefillTokens) / rate * (1 + load * load) + 0.02 * load * load;
		return this.speed.isStated() ? seconds * this.speed.pace(now) : seconds;
	}

	/**
	 * Learns from the time to the first token of an attempt, or to the response of a
	 * plain service.
	 * @param attempt the attempt
	 * @param now the current time in nanoseconds
	 */
	void recordTime(PendingRequest.Attempt attempt, long now) {
		this.speed.addTime((now - attempt.sentNanos) / 1e9, attempt.baseTime, now);
	}

	/**
	 * Counts a new attempt.
	 * @param attempt the attempt
	 */
	void addAttempt(PendingRequest.Attempt attempt) {
		attempt.baseTime = baseTime(attempt.prefillTokens, load(attempt.sentNanos), attempt.sentNanos);
		this.ownUnits += attempt.units;
		this.unitsSinceReport += attempt.units;
		this.ownAttemptCount++;
		this.ownAwaitingFirstToken++;
		this.ownPrefillTokens += attempt.prefillTokens;
	}

	/**
	 * Counts output tokens of an attempt.
	 * @param attempt the attempt, with its previous number of tokens
	 * @param tokens the new number of tokens
	 */
	void progress(PendingRequest.Attempt attempt, int tokens) {
		if (attempt.tokens == 0) {
			this.ownAwaitingFirstToken--;
			this.ownPrefillTokens -= attempt.prefillTokens;
			this.ownKvTokens += attempt.pending.request.promptTokens();
		}
		this.ownKvTokens += tokens - attempt.tokens;
	}

	/**
	 * Releases what an ended attempt holds.
	 * @param attempt the attempt
	 */
	void removeAttempt(PendingRequest.Attempt attempt) {
		this.ownUnits -= attempt.units;
		this.unitsSinceReport -= attempt.units;
		this.ownAttemptCount--;
		if (attempt.tokens == 0) {
			this.ownAwaitingFirstToken--;
			this.ownPrefillTokens -= attempt.prefillTokens;
		}
		else {
			this.ownKvTokens -= attempt.pending.request.promptTokens() + attempt.tokens;
		}
	}

	/**
	 * Returns the units in use relative to the limit.
	 * @return the load, 1 at the limit
	 */
	double load() {
		return (this.otherLoad.latestUnits() + this.ownUnits) / Math.max(1, limitUnits());
	}

	/**
	 * Returns the number of running attempts of this daemon.
	 * @return the number
	 */
	int ownAttemptCount() {
		return this.ownAttemptCount;
	}

	/**
	 * Returns the units held by attempts of this daemon.
	 * @return the units
	 */
	long ownUnits() {
		return this.ownUnits;
	}

	/**
	 * Returns the units that may be in use at once.
	 * @return the adaptive limit for an engine, the capacity in calls for a plain service
	 */
	double limitUnits() {
		return (this.report != null) ? this.concurrencyLimit.fraction() * this.report.kvTokensCapacity()
				: this.capacity;
	}

	private double maxUnits() {
		return (this.report != null) ? MAX_KV_FRACTION * this.report.kvTokensCapacity() : this.capacity;
	}

	private double slowStartFraction(long now) {
		if (!this.isSlowStarting) {
			return 1;
		}
		double progress = (double) (now - this.slowStartBeganNanos) / this.slowStartNanos;
		if (progress >= 1) {
			this.isSlowStarting = false;
			return 1;
		}
		return SLOW_START_INITIAL_FRACTION + (1 - SLOW_START_INITIAL_FRACTION) * progress;
	}

}
