package org.celeryhill.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

import org.celeryhill.base.DataCentre;

/**
 * Plans the loads of models: models without an expected replica first, then models with
 * memory reserved on an engine, then required and spare replicas by expected gain. Not
 * thread-safe.
 */
final class ModelLoadPhase {

	/** Maximum number of scans over all engines per round; bounds its duration. */
	private static final int MAX_ENGINE_SCANS = 128;

	/**
	 * Maximum number of engines on which memory is being freed at the same time.
	 */
	private static final int MAX_RESERVATIONS = 16;

	/**
	 * Fraction of the mean value of a model that is added to the gain of a required
	 * replica. It accounts for the risk of losing the only replica.
	 */
	private static final double REQUIRED_REPLICA_BONUS_RATIO = 0.25;

	/** Ratio of gain to cost above which an optional move is planned. */
	private static final double MIN_GAIN_TO_COST = 1.5;

	/**
	 * Ratio of gain to cost above which a move after a demand shift is planned outside
	 * the budget of optional moves.
	 */
	private static final double SHIFT_MIN_GAIN_TO_COST = 3;

	/** Round that is being planned. */
	private final PlanningRound round;

	/** Most bytes that any engine of a data centre can free, by data centre. */
	private final Map<DataCentre, Long> freeableBytes = new HashMap<>();

	/** Scans over all engines that are left in this round. */
	private int scansLeft = MAX_ENGINE_SCANS;

	ModelLoadPhase(PlanningRound round) {
		this.round = round;
	}

	/** Plans the loads of a round. */
	void run() {
		loadUnavailable();
		continueReservations();
		loadByGain();
	}

	private void loadUnavailable() {
		List<ModelView> unavailable = new ArrayList<>();
		for (ModelView model : this.round.fleet.models.values()) {
			if (model.requiredReplicas > 0 && model.expected() == 0) {
				unavailable.add(model);
			}
		}
		unavailable.sort(Comparator.comparing(ModelView::canServeNow)
			.thenComparing((model) -> -model.demand.value() - model.waiting)
			.thenComparing((model) -> -model.spec.bytes())
			.thenComparing((model) -> model.id));
		for (ModelView model : unavailable) {
			loadFirstReplica(model);
		}
	}

	private void loadFirstReplica(ModelView model) {
		if (this.scansLeft <= 0) {
			model.reason = "deferred to a later round";
			return;
		}
		this.scansLeft--;
		Optional<EngineView> engine = this.round.engineSelector.findFittingEngine(model, 0, false);
		String reason = model.canServeNow() ? "the engines that serve it are draining" : "no engine serves it";
		if (engine.isPresent()) {
			loadWithinBudget(engine.get(), model, reason);
		}
		else if (this.round.moveHistory.hasReservationFor(model)) {
			model.reason = "waits for memory to be freed";
		}
		else if (this.round.moveHistory.reservationCount() < MAX_RESERVATIONS) {
			freeMemoryForFirstReplica(model, reason);
		}
	}

	private void loadWithinBudget(EngineView engine, ModelView model, String reason) {
		if (this.round.loadBudget.isModelLoadAllowed()) {
			this.round.load(engine, model, reason);
		}
		else {
			model.reason = "waits for the load budget: " + reason;
		}
	}

	private void freeMemoryForFirstReplica(ModelView model, String reason) {
		Optional<EngineSelector.EvictionPlan> eviction = this.round.engineSelector.findCheapestEviction(model,
				UnloadRule.LAST_RESORT, false, (replica) -> true);
		if (eviction.isPresent()) {
			this.round.moveHistory.reserve(eviction.get().engine(), model, true);
			unloadAll(eviction.get(), "frees memory for " + model.id + ": " + reason);
			return;
		}
		Optional<EngineView> engine = this.round.engineSelector.findClearableEngine(model);
		if (engine.isPresent()) {
			this.round.moveHistory.reserve(engine.get(), model, true);
			model.reason = "engine " + engine.get().state.id() + " is being cleared for it";
			return;
		}
		model.lacksMemory = true;
		this.round.addFinding(true, model, "no engine has or can free the memory for its first replica; add memory");
	}

	private void unloadAll(EngineSelector.EvictionPlan eviction, String reason) {
		eviction.victims().forEach((replica) -> this.round.unload(replica, reason));
	}

	private void continueReservations() {
		for (EngineView engine : this.round.moveHistory.reservedEngines(this.round.fleet)) {
			ModelView model = engine.reservedFor;
			// An earlier iteration may have ended this reservation.
			if (model == null || !engine.isLoadAllowed(model)) {
				continue;
			}
			if (engine.freeBytes >= model.spec.bytes()) {
				loadWithinBudget(engine, model, "memory was freed for it");
			}
			else {
				continueReservation(engine, model);
			}
		}
	}

	private void continueReservation(EngineView engine, ModelView model) {
		boolean isUrgent = this.round.moveHistory.isUrgentReservation(engine);
		UnloadRule rule = isUrgent ? UnloadRule.LAST_RESORT : UnloadRule.SPARE;
		Optional<EngineSelector.EvictionPlan> eviction = this.round.engineSelector.planEviction(engine,
				model.spec.bytes(), rule, (replica) -> true);
		if (eviction.isPresent()) {
			unloadAll(eviction.get(), "frees memory for " + model.id);
		}
		else if (isUrgent) {
			replicateBlockers(engine, model);
		}
	}

	private void replicateBlockers(EngineView engine, ModelView model) {
		for (Replica blocker : this.round.engineSelector.findBlockers(engine, model.spec.bytes())) {
			boolean hasOtherReplica = blocker.model.expected() > (blocker.isExpected() ? 1 : 0);
			if (hasOtherReplica || !blocker.model.isListed() || this.scansLeft <= 0) {
				continue;
			}
			this.scansLeft--;
			this.round.engineSelector.findFittingEngine(blocker.model, 0, false)
				.ifPresent((target) -> loadWithinBudget(target, blocker.model,
						"moves from " + engine.state.id() + " to free memory for " + model.id));
		}
	}

	private void loadByGain() {
		computeFreeableBytes();
		double requiredBonus = REQUIRED_REPLICA_BONUS_RATIO * computeMeanValue();
		PriorityQueue<Candidate> queue = new PriorityQueue<>(Candidate.BY_SCORE);
		for (ModelView model : this.round.fleet.models.values()) {
			addCandidate(queue, model, requiredBonus);
		}
		while (!queue.isEmpty() && this.scansLeft > 0 && this.round.loadBudget.isModelLoadAllowed()) {
			Candidate candidate = queue.poll();
			boolean isLoaded = candidate.isRequired() ? loadRequired(candidate.model()) : loadSpare(candidate);
			if (isLoaded) {
				addCandidate(queue, candidate.model(), requiredBonus);
			}
		}
	}

	private double computeMeanValue() {
		double value = 0;
		int count = 1;
		for (ModelView model : this.round.fleet.models.values()) {
			value += model.demand.value();
			count += (model.requiredReplicas > 0) ? 1 : 0;
		}
		return value / count;
	}

	private void addCandidate(PriorityQueue<Candidate> queue, ModelView model, double requiredBonus) {
		if (model.requiredReplicas == 0 || model.expected() == 0) {
			return;
		}
		double gain = this.round.fleet.gain.ofAdding(model);
		boolean lacksReplicas = model.expected() < model.requiredReplicas;
		if (lacksReplicas || (model.requiredReplicas > 1 && !model.isSpread())) {
			queue.add(new Candidate(model, gain + requiredBonus, gain, true));
		}
		else if (model.expected() < model.spec.maxReplicas() && gain > this.round.fleet.gain.minGain()) {
			queue.add(new Candidate(model, gain, gain, false));
		}
	}

	private void computeFreeableBytes() {
		for (EngineView engine : this.round.fleet.usableEngines) {
			long bytes = engine.freeBytes + engine.pendingUnloadBytes();
			for (Replica replica : engine.replicas) {
				bytes += UnloadRule.SPARE.isAllowed(replica) ? replica.bytes : 0;
			}
			this.freeableBytes.merge(engine.state.dataCentre(), bytes, Math::max);
		}
	}

	private boolean isMemoryFreeable(ModelView model, boolean isNewDataCentreRequired) {
		for (Map.Entry<DataCentre, Long> freeable : this.freeableBytes.entrySet()) {
			boolean isAllowed = !isNewDataCentreRequired || !model.isExpectedIn(freeable.getKey());
			if (isAllowed && freeable.getValue() >= model.spec.bytes()) {
				return true;
			}
		}
		return false;
	}

	private boolean loadRequired(ModelView model) {
		boolean lacksReplicas = model.expected() < model.requiredReplicas;
		boolean isSpread = model.isSpread();
		if (!isSpread && loadRequired(model, true, "it needs a replica in a second data centre")) {
			return true;
		}
		if (lacksReplicas && loadRequired(model, false, "it has fewer replicas than required")) {
			return true;
		}
		if (!this.round.moveHistory.hasReservationFor(model)) {
			model.lacksMemory = true;
			this.round.addFinding(false, model,
					lacksReplicas ? "not enough memory for all required replicas; add memory"
							: "not enough memory in a second data centre; add memory there");
		}
		return false;
	}

	private boolean loadRequired(ModelView model, boolean isNewDataCentreRequired, String reason) {
		if (!isMemoryFreeable(model, isNewDataCentreRequired) || this.scansLeft <= 0) {
			return false;
		}
		this.scansLeft--;
		Optional<EngineView> engine = this.round.engineSelector.findFittingEngine(model, 0, isNewDataCentreRequired);
		if (engine.isPresent()) {
			loadWithinBudget(engine.get(), model, reason);
			return true;
		}
		if (this.round.moveHistory.hasReservationFor(model)
				|| this.round.moveHistory.reservationCount() >= MAX_RESERVATIONS) {
			return false;
		}
		this.round.engineSelector
			.findCheapestEviction(model, UnloadRule.SPARE, isNewDataCentreRequired, (replica) -> replica.model != model)
			.ifPresent((eviction) -> {
				this.round.moveHistory.reserve(eviction.engine(), model, true);
				unloadAll(eviction, "frees memory for " + model.id + ": " + reason);
			});
		return false;
	}

	private boolean loadSpare(Candidate candidate) {
		ModelView model = candidate.model();
		this.scansLeft--;
		Optional<EngineView> engine = this.round.engineSelector.findFittingEngine(model,
				this.round.fleet.adapterHeadroomBytes, false);
		String reason = String.format(Locale.ROOT, "expected gain of %.3g value per second", candidate.gain());
		if (engine.isPresent()) {
			loadWithinBudget(engine.get(), model, reason);
			return true;
		}
		if (this.round.moveHistory.hasReservationFor(model)
				|| this.round.moveHistory.reservationCount() >= MAX_RESERVATIONS) {
			return false;
		}
		boolean isShifted = model.demand.isShifted();
		Optional<EngineSelector.EvictionPlan> eviction = this.round.engineSelector.findCheapestEviction(model,
				UnloadRule.SPARE, false, (replica) -> replica.model != model
						&& (isShifted || !this.round.moveHistory.isRecentlyLoaded(replica)));
		if (eviction.isPresent()) {
			evictForSpare(model, candidate.gain(), eviction.get(), reason);
		}
		return false;
	}

	private void evictForSpare(ModelView model, double gain, EngineSelector.EvictionPlan eviction, String reason) {
		double minGain = this.round.fleet.gain.minGain();
		boolean isWorthwhileForShift = model.demand.isShifted()
				&& gain > SHIFT_MIN_GAIN_TO_COST * eviction.cost() + minGain;
		boolean isWorthwhileOptional = gain > MIN_GAIN_TO_COST * eviction.cost() + minGain
				&& this.round.moveHistory.isOptionalMoveAllowed();
		if (!isWorthwhileForShift && !isWorthwhileOptional) {
			model.reason = "the gain of another replica does not justify a move";
			return;
		}
		if (!isWorthwhileForShift) {
			this.round.moveHistory.consumeOptionalMove();
		}
		this.round.moveHistory.reserve(eviction.engine(), model, false);
		unloadAll(eviction, "frees memory for " + model.id + ": " + reason);
	}

	/**
	 * Model that may get another replica.
	 *
	 * @param model the model that may get a replica
	 * @param score the gain plus the bonus of a required replica, in value per second
	 * @param gain the expected gain, in value per second
	 * @param isRequired whether the replica is required rather than spare
	 */
	private record Candidate(ModelView model, double score, double gain, boolean isRequired) {

		/** Highest score first, then by model id so that plans are reproducible. */
		private static final Comparator<Candidate> BY_SCORE = Comparator.comparingDouble(Candidate::score)
			.reversed()
			.thenComparing((candidate) -> candidate.model().id);

	}

}
