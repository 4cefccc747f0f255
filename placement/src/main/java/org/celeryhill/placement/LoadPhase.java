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
 * Plans the loads of models: unreachable models first, then needed and spare replicas by
 * expected gain. Not thread-safe.
 */
final class LoadPhase {

	/** Scans over all engines per round; bounds the time of a round. */
	private static final int MAX_SCANS = 128;

	/**
	 * Engines on which room is made at the same time, per load that may start at once.
	 */
	private static final int ROOMS = 16;

	/**
	 * Part of the mean value of a model that a needed replica is worth on top of its
	 * gain. It stands for the risk of losing the only copy.
	 */
	private static final double NEED_BONUS = 0.25;

	/** Gain over cost from which an optional move is worth its load. */
	private static final double HYSTERESIS = 1.5;

	/**
	 * Gain over cost from which a move is planned outside the budget of optional moves.
	 */
	private static final double SHIFT_HYSTERESIS = 3;

	/** Round that is being planned. */
	private final Round round;

	/** Most bytes that an engine of a data centre can offer to a needed replica. */
	private final Map<DataCentre, Long> offers = new HashMap<>();

	/** Scans left in this round. */
	private int scans = MAX_SCANS;

	LoadPhase(Round round) {
		this.round = round;
	}

	/** Plans the loads of a round. */
	void run() {
		loadUnreachable();
		advanceRooms();
		loadByGain();
	}

	private void loadUnreachable() {
		List<ModelView> missing = new ArrayList<>();
		for (ModelView model : this.round.fleet.models.values()) {
			if (model.need > 0 && model.expected() == 0) {
				missing.add(model);
			}
		}
		missing.sort(Comparator.comparing(ModelView::isServed)
			.thenComparing((model) -> -model.demand.value() - model.waiting)
			.thenComparing((model) -> -model.spec.bytes())
			.thenComparing((model) -> model.id));
		for (ModelView model : missing) {
			loadFirst(model);
		}
	}

	private void loadFirst(ModelView model) {
		if (this.scans <= 0) {
			model.reason = "waits for a later round";
			return;
		}
		this.scans--;
		Optional<EngineView> engine = this.round.choice.fitting(model, 0, false);
		String reason = model.isServed() ? "its engines leave" : "no engine serves it";
		if (engine.isPresent()) {
			loadWithinBudget(engine.get(), model, reason);
		}
		else if (this.round.moves.isReservedFor(model)) {
			model.reason = "waits for room";
		}
		else if (this.round.moves.reservedCount() < ROOMS) {
			makeRoomForFirst(model, reason);
		}
	}

	private void loadWithinBudget(EngineView engine, ModelView model, String reason) {
		if (this.round.budget.isModelAllowed()) {
			this.round.load(engine, model, reason);
		}
		else {
			model.reason = "waits for the load budget: " + reason;
		}
	}

	private void makeRoomForFirst(ModelView model, String reason) {
		Optional<EngineChoice.Room> room = this.round.choice.room(model, Removal.LAST_RESORT, false, (replica) -> true);
		if (room.isPresent()) {
			this.round.moves.reserve(room.get().engine(), model, true);
			unloadAll(room.get(), "room for " + model.id + ", " + reason);
			return;
		}
		Optional<EngineView> engine = this.round.choice.clearable(model);
		if (engine.isPresent()) {
			this.round.moves.reserve(engine.get(), model, true);
			model.reason = "engine " + engine.get().state.id() + " is cleared for it";
			return;
		}
		model.isBlocked = true;
		this.round.report(true, model, "no engine has or can make room for its first replica; add memory");
	}

	private void unloadAll(EngineChoice.Room room, String reason) {
		room.removals().forEach((replica) -> this.round.unload(replica, reason));
	}

	private void advanceRooms() {
		for (EngineView engine : this.round.moves.reserved(this.round.fleet)) {
			ModelView model = engine.reservedFor;
			// An earlier turn may have given this room up.
			if (model == null || !engine.isLoadAllowed(model)) {
				continue;
			}
			if (engine.freeBytes >= model.spec.bytes()) {
				loadWithinBudget(engine, model, "room was made for it");
			}
			else {
				advance(engine, model);
			}
		}
	}

	private void advance(EngineView engine, ModelView model) {
		boolean isUrgent = this.round.moves.isUrgentRoom(engine);
		Removal rule = isUrgent ? Removal.LAST_RESORT : Removal.SPARE;
		Optional<EngineChoice.Room> room = this.round.choice.roomOn(engine, model.spec.bytes(), rule,
				(replica) -> true);
		if (room.isPresent()) {
			unloadAll(room.get(), "room for " + model.id);
		}
		else if (isUrgent) {
			moveBlockers(engine, model);
		}
	}

	private void moveBlockers(EngineView engine, ModelView model) {
		for (Replica blocker : this.round.choice.blockers(engine, model.spec.bytes())) {
			boolean isMoving = blocker.model.expected() > (blocker.isExpected() ? 1 : 0);
			if (isMoving || !blocker.model.isListed() || this.scans <= 0) {
				continue;
			}
			this.scans--;
			this.round.choice.fitting(blocker.model, 0, false)
				.ifPresent((target) -> loadWithinBudget(target, blocker.model,
						"moves from " + engine.state.id() + " to make room for " + model.id));
		}
	}

	private void loadByGain() {
		findOffers();
		double bonus = NEED_BONUS * meanValue();
		PriorityQueue<Candidate> queue = new PriorityQueue<>(Candidate.BY_SCORE);
		for (ModelView model : this.round.fleet.models.values()) {
			offer(queue, model, bonus);
		}
		while (!queue.isEmpty() && this.scans > 0 && this.round.budget.isModelAllowed()) {
			Candidate candidate = queue.poll();
			boolean isLoaded = candidate.isNeeded() ? loadNeeded(candidate.model()) : loadSpare(candidate);
			if (isLoaded) {
				offer(queue, candidate.model(), bonus);
			}
		}
	}

	private double meanValue() {
		double value = 0;
		int count = 1;
		for (ModelView model : this.round.fleet.models.values()) {
			value += model.demand.value();
			count += (model.need > 0) ? 1 : 0;
		}
		return value / count;
	}

	private void offer(PriorityQueue<Candidate> queue, ModelView model, double bonus) {
		if (model.need == 0 || model.expected() == 0) {
			return;
		}
		double gain = this.round.fleet.gain.ofAdding(model);
		boolean isShort = model.expected() < model.need;
		if (isShort || (model.need > 1 && !model.isSpread())) {
			queue.add(new Candidate(model, gain + bonus, gain, true));
		}
		else if (model.expected() < model.spec.maxReplicas() && gain > this.round.fleet.gain.minGain()) {
			queue.add(new Candidate(model, gain, gain, false));
		}
	}

	private void findOffers() {
		for (EngineView engine : this.round.fleet.usable) {
			long bytes = engine.freeBytes + engine.goingBytes();
			for (Replica replica : engine.replicas) {
				bytes += Removal.SPARE.isAllowed(replica) ? replica.bytes : 0;
			}
			this.offers.merge(engine.state.dataCentre(), bytes, Math::max);
		}
	}

	private boolean isOffered(ModelView model, boolean isNewDataCentre) {
		for (Map.Entry<DataCentre, Long> offer : this.offers.entrySet()) {
			boolean isAllowed = !isNewDataCentre || !model.isExpectedIn(offer.getKey());
			if (isAllowed && offer.getValue() >= model.spec.bytes()) {
				return true;
			}
		}
		return false;
	}

	private boolean loadNeeded(ModelView model) {
		boolean isShort = model.expected() < model.need;
		boolean isSpread = model.isSpread();
		if (!isSpread && loadNeeded(model, true, "a second data centre is to hold it")) {
			return true;
		}
		if (isShort && loadNeeded(model, false, "it has fewer ready replicas than needed")) {
			return true;
		}
		if (!this.round.moves.isReservedFor(model)) {
			model.isBlocked = true;
			this.round.report(false, model, isShort ? "no memory for all needed replicas; add memory"
					: "no memory in a second data centre; add memory there");
		}
		return false;
	}

	private boolean loadNeeded(ModelView model, boolean isNewDataCentre, String reason) {
		if (!isOffered(model, isNewDataCentre) || this.scans <= 0) {
			return false;
		}
		this.scans--;
		Optional<EngineView> engine = this.round.choice.fitting(model, 0, isNewDataCentre);
		if (engine.isPresent()) {
			loadWithinBudget(engine.get(), model, reason);
			return true;
		}
		if (this.round.moves.isReservedFor(model) || this.round.moves.reservedCount() >= ROOMS) {
			return false;
		}
		this.round.choice.room(model, Removal.SPARE, isNewDataCentre, (replica) -> replica.model != model)
			.ifPresent((room) -> {
				this.round.moves.reserve(room.engine(), model, true);
				unloadAll(room, "room for " + model.id + ", " + reason);
			});
		return false;
	}

	private boolean loadSpare(Candidate candidate) {
		ModelView model = candidate.model();
		this.scans--;
		Optional<EngineView> engine = this.round.choice.fitting(model, this.round.fleet.adapterHeadroomBytes, false);
		String reason = String.format(Locale.ROOT, "demand gains %.3g value per second", candidate.gain());
		if (engine.isPresent()) {
			loadWithinBudget(engine.get(), model, reason);
			return true;
		}
		if (this.round.moves.isReservedFor(model) || this.round.moves.reservedCount() >= ROOMS) {
			return false;
		}
		boolean isShifted = model.demand.isShifted();
		Optional<EngineChoice.Room> room = this.round.choice.room(model, Removal.SPARE, false,
				(replica) -> replica.model != model && (isShifted || !this.round.moves.isSettling(replica)));
		if (room.isPresent()) {
			swap(model, candidate.gain(), room.get(), reason);
		}
		return false;
	}

	private void swap(ModelView model, double gain, EngineChoice.Room room, String reason) {
		double minGain = this.round.fleet.gain.minGain();
		boolean isFast = model.demand.isShifted() && gain > SHIFT_HYSTERESIS * room.cost() + minGain;
		boolean isOptional = gain > HYSTERESIS * room.cost() + minGain && this.round.moves.isOptionalAllowed();
		if (!isFast && !isOptional) {
			model.reason = "a further replica is not worth a move now";
			return;
		}
		if (!isFast) {
			this.round.moves.takeOptional();
		}
		this.round.moves.reserve(room.engine(), model, false);
		unloadAll(room, "room for " + model.id + ", " + reason);
	}

	/**
	 * Model that may get a further replica.
	 *
	 * @param model the model
	 * @param score the order among candidates, in value per second
	 * @param gain the expected gain, in value per second
	 * @param isNeeded whether the replica is needed rather than spare
	 */
	private record Candidate(ModelView model, double score, double gain, boolean isNeeded) {

		/** Highest score first, then by id so that plans are reproducible. */
		private static final Comparator<Candidate> BY_SCORE = Comparator.comparingDouble(Candidate::score)
			.reversed()
			.thenComparing((candidate) -> candidate.model().id);

	}

}
