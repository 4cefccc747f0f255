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
 * What the daemon knows of one backend server: the lagging report and its own attempts.
 * Load is counted in units: KV tokens for an engine, calls for a plain service. Not
 * thread-safe.
 */
final class BackendState {

	/** Part of the KV cache that is never planned for, against wrong estimates. */
	private static final double HARD_PART = 0.95;

	/** Part of the limit at the begin of a slow start. */
	private static final double SLOW_START_PART = 0.2;

	/** Prefill rate assumed before a report gives one, in tokens a second. */
	private static final double DEFAULT_PREFILL_RATE = 8000;

	/** Prompt tokens assumed for requests of other daemons that wait in the engine. */
	private static final int ASSUMED_PROMPT = 400;

	/** Time for which an adapter counts as resident after a request for it was sent. */
	private static final long ADAPTER_ASSUMED_NANOS = 2_000_000_000L;

	/** Backend server. */
	final BackendServerId id;

	/** Position in the table of the pool, stable while it is known. */
	final int index;

	/** Limit of the KV tokens. */
	final ConcurrencyLimit limit = new ConcurrencyLimit();

	final FirstTokenLimit firstTokens;

	/** Where it stands. */
	DataCentre dataCentre;

	/** Latest report, null for a plain service. */
	EngineReport report;

	/** Whether it may get new work apart from suspicion. */
	boolean isOpen;

	/** Whether it was forgotten. */
	boolean isForgotten;

	/** Failures since the last success. */
	int failures;

	/** Time until which it is suspect, in nanoseconds. */
	long suspectUntil = Long.MIN_VALUE;

	/** Whether it became suspect and has not been readmitted. */
	boolean isSuspect;

	/** Rendezvous hash with this daemon. */
	final long hash;

	/** Changes whenever the prompt prefix cache was lost. */
	int cacheEpoch;

	/** Length of a slow start, in nanoseconds. */
	private final long slowStartNanos;

	/** Begin of the slow start, in nanoseconds. */
	private long recovered;

	/** Whether a slow start runs. */
	private boolean isSlow;

	/** Models and adapters that are ready. */
	private Set<ModelId> ready = Set.of();

	/** Adapters that were requested since, with the time until which they count. */
	private final Map<ModelId, Long> assumed = new HashMap<>();

	/** Calls a plain service can run. */
	private int capacity;

	/** Units in use by others at the time of the report. */
	private long othersUnits;

	/** Requests of others that wait in the engine. */
	private int othersQueued;

	/** Free units when the report arrived. */
	private double freeAtReport;

	/** Units sent since the report arrived. */
	private long unitsSinceReport;

	/** Units held by own attempts. */
	private long ownUnits;

	/** KV tokens that own attempts use by now. */
	private long ownTokens;

	/** Own attempts. */
	private int ownCount;

	/** Own attempts without a first token. */
	private int ownWaiting;

	/** Prompt tokens of own attempts without a first token. */
	private long ownPrefill;

	/**
	 * Creates the state of a backend server before its first report.
	 * @param id the backend server
	 * @param index the position in the table
	 * @param hash the rendezvous hash with this daemon
	 * @param slowStartNanos the length of a slow start, in nanoseconds
	 * @param firstTokenNanos the wait for a first token that its queue is kept to, in
	 * nanoseconds, 0 for no limit
	 */
	BackendState(BackendServerId id, int index, long hash, long slowStartNanos, long firstTokenNanos) {
		this.id = id;
		this.index = index;
		this.hash = hash;
		this.slowStartNanos = slowStartNanos;
		this.firstTokens = new FirstTokenLimit(firstTokenNanos);
	}

	/**
	 * Takes note of a view.
	 * @param view the view
	 * @return whether the ready models or the ability to get work changed
	 */
	boolean update(BackendView view) {
		boolean open = view.isReachable() && !view.isLeaving()
				&& view.report()
					.map((one) -> !one.isLeaving() && EngineReport.Role.STARTING.contains(one.role()))
					.orElse(true);
		boolean changed = open != this.isOpen;
		this.isOpen = open;
		this.dataCentre = view.dataCentre();
		if (view.report().isPresent()) {
			changed |= updateEngine(view.report().get());
		}
		else {
			updatePlain(view);
		}
		return changed;
	}

	private boolean updateEngine(EngineReport next) {
		EngineReport previous = this.report;
		this.report = next;
		if (previous != null && previous.sequence() == next.sequence()
				&& previous.incarnation().equals(next.incarnation())) {
			return false;
		}
		this.othersUnits = Math.max(0, next.kvTokensUsed() - this.ownTokens);
		this.othersQueued = Math.max(0, next.queued() - this.ownWaiting);
		if (next.queued() > this.ownWaiting && next.kvTokensCapacity() > 0) {
			this.limit.saturated((double) next.kvTokensUsed() / next.kvTokensCapacity());
		}
		this.freeAtReport = maximum() - this.othersUnits - this.ownUnits;
		this.unitsSinceReport = 0;
		if (previous != null && previous.residents().equals(next.residents())) {
			return false;
		}
		Set<ModelId> models = new HashSet<>();
		for (EngineReport.Resident resident : next.residents()) {
			if (resident.state() == EngineReport.ResidentState.READY) {
				models.add(resident.model());
			}
		}
		boolean changed = !models.equals(this.ready);
		this.ready = models;
		return changed;
	}

	private void updatePlain(BackendView view) {
		this.capacity = view.capacity();
		this.othersUnits = Math.max(0, view.running() - this.ownCount);
		this.freeAtReport = maximum() - this.othersUnits - this.ownUnits;
		this.unitsSinceReport = 0;
	}

	/**
	 * Returns whether the restart of the engine shows in a view.
	 * @param view the view
	 * @return true if the incarnation differs from the known one
	 */
	boolean isRestartedIn(BackendView view) {
		return this.report != null && view.report().isPresent()
				&& !this.report.incarnation().equals(view.report().get().incarnation());
	}

	/**
	 * Begins a slow start.
	 * @param now the time in nanoseconds
	 */
	void startSlowly(long now) {
		this.isSlow = true;
		this.recovered = now;
	}

	/**
	 * Returns whether a model is ready.
	 * @param model the model or adapter
	 * @return true if the report lists it as ready
	 */
	boolean isReady(ModelId model) {
		return this.ready.contains(model);
	}

	/**
	 * Returns the models and adapters that are ready.
	 * @return the set, replaced with each change
	 */
	Set<ModelId> ready() {
		return this.ready;
	}

	/**
	 * Returns whether an adapter is ready or was requested a moment ago.
	 * @param adapter the adapter
	 * @param now the time in nanoseconds
	 * @return true if no load is expected
	 */
	boolean isAdapterExpected(ModelId adapter, long now) {
		if (this.ready.contains(adapter)) {
			return true;
		}
		Long until = this.assumed.get(adapter);
		return until != null && until > now;
	}

	/**
	 * Takes note that a request has made the engine load an adapter.
	 * @param adapter the adapter
	 * @param now the time in nanoseconds
	 */
	void expectAdapter(ModelId adapter, long now) {
		this.assumed.put(adapter, now + ADAPTER_ASSUMED_NANOS);
		if (this.assumed.size() > 256) {
			this.assumed.values().removeIf((until) -> until <= now);
		}
	}

	/**
	 * Returns whether the server may get new work.
	 * @return false if it drains, is suspect or is forgotten
	 */
	boolean isUsable() {
		return this.isOpen && !this.isSuspect && !this.isForgotten;
	}

	/**
	 * Returns whether an attempt fits.
	 * @param units the units it takes
	 * @param room the part of the limit that may be filled
	 * @param share the part of the limit that this daemon is entitled to
	 * @param urgency how common urgent requests are, from 0 to 1
	 * @param now the time in nanoseconds
	 * @return true if it may be sent
	 */
	boolean hasRoom(long units, Room room, double share, double urgency, long now) {
		double part = room.part(urgency) * slowStartPart(now);
		double max = maximum() * part;
		long total = this.othersUnits + this.ownUnits;
		if (this.ownCount > 0 && total + units > hardMaximum()) {
			return false;
		}
		if (this.ownUnits < share * max) {
			return true;
		}
		return total < max && this.unitsSinceReport < share * this.freeAtReport;
	}

	/**
	 * Returns whether a prompt may join those that wait for their first token.
	 * @param prefill the tokens of the prompt that are not cached
	 * @return whether it may
	 */
	boolean admitsPrompt(int prefill) {
		return this.report == null || this.firstTokens.allows(this.ownWaiting, this.ownPrefill, prefill);
	}

	/**
	 * Returns the expected time to the first token of a new attempt.
	 * @param prefill the prompt tokens without the cached prefix
	 * @return the time in seconds
	 */
	double expectedSeconds(int prefill) {
		double max = Math.max(1, maximum());
		double load = (this.othersUnits + this.ownUnits) / max;
		if (this.report == null) {
			return load;
		}
		double rate = (this.report.prefillTokensPerSecond() > 0) ? this.report.prefillTokensPerSecond()
				: DEFAULT_PREFILL_RATE;
		double waiting = this.ownPrefill + (double) this.othersQueued * ASSUMED_PROMPT;
		// A full batch slows prefill down; the square keeps a half-full one attractive.
		return (waiting + prefill) / rate * (1 + load * load) + 0.02 * load * load;
	}

	/**
	 * Counts a new attempt.
	 * @param attempt the attempt
	 */
	void add(PendingRequest.Attempt attempt) {
		this.ownUnits += attempt.units;
		this.unitsSinceReport += attempt.units;
		this.ownCount++;
		this.ownWaiting++;
		this.ownPrefill += attempt.prefill;
	}

	/**
	 * Counts tokens of an attempt.
	 * @param attempt the attempt, with its former number of tokens
	 * @param tokens the new number of tokens
	 */
	void progress(PendingRequest.Attempt attempt, int tokens) {
		if (attempt.tokens == 0) {
			this.ownWaiting--;
			this.ownPrefill -= attempt.prefill;
			this.ownTokens += attempt.pending.request.promptTokens();
		}
		this.ownTokens += tokens - attempt.tokens;
	}

	/**
	 * Removes an attempt.
	 * @param attempt the attempt
	 */
	void remove(PendingRequest.Attempt attempt) {
		this.ownUnits -= attempt.units;
		this.unitsSinceReport -= attempt.units;
		this.ownCount--;
		if (attempt.tokens == 0) {
			this.ownWaiting--;
			this.ownPrefill -= attempt.prefill;
		}
		else {
			this.ownTokens -= attempt.pending.request.promptTokens() + attempt.tokens;
		}
	}

	/**
	 * Returns the units in use relative to the limit.
	 * @return the load, 1 at the limit
	 */
	double load() {
		return (this.othersUnits + this.ownUnits) / Math.max(1, maximum());
	}

	/**
	 * Returns the own attempts.
	 * @return the number
	 */
	int ownCount() {
		return this.ownCount;
	}

	/**
	 * Returns the units held by own attempts.
	 * @return the units
	 */
	long ownUnits() {
		return this.ownUnits;
	}

	/**
	 * Returns the units that may be in use at once.
	 * @return the adaptive limit in units
	 */
	double maximum() {
		return (this.report != null) ? this.limit.part() * this.report.kvTokensCapacity() : this.capacity;
	}

	private double hardMaximum() {
		return (this.report != null) ? HARD_PART * this.report.kvTokensCapacity() : this.capacity;
	}

	private double slowStartPart(long now) {
		if (!this.isSlow) {
			return 1;
		}
		double progress = (double) (now - this.recovered) / this.slowStartNanos;
		if (progress >= 1) {
			this.isSlow = false;
			return 1;
		}
		return SLOW_START_PART + (1 - SLOW_START_PART) * progress;
	}

}
