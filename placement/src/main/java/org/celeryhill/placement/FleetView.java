package org.celeryhill.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.ModelId;
import org.celeryhill.config.ModelSpec;
import org.celeryhill.placement.PlanInput.EngineState;
import org.celeryhill.placement.PlanInput.ModelDemand;
import org.celeryhill.port.EngineReport.Resident;

/**
 * Engines and models of one planning round with the indexes between them. Not
 * thread-safe.
 */
final class FleetView {

	/** Adapters for which spare replicas leave memory free on each engine. */
	private static final int HEADROOM_ADAPTERS = 4;

	/** Part of the mean engine load below which a model counts as idle. */
	private static final double IDLE_LOAD = 0.001;

	/** Engines by id, in the order of the input. */
	final Map<BackendServerId, EngineView> engines = new LinkedHashMap<>();

	/** Listed and resident models by id. */
	final Map<ModelId, ModelView> models = new LinkedHashMap<>();

	/** Engines that stay. */
	final List<EngineView> usable = new ArrayList<>();

	/** Gains of replicas under the current demand. */
	ReplicaGain gain = ReplicaGain.of(0, 0);

	/** Mean load of an engine that stays, in tokens per second. */
	double meanLoad;

	/** Memory that spare replicas leave free on each engine for adapters, in bytes. */
	long adapterHeadroomBytes;

	private FleetView() {
	}

	/**
	 * Builds the view of a round.
	 * @param input the input of the round
	 * @param catalogue the listed models
	 * @return the view
	 */
	static FleetView of(PlanInput input, Catalogue catalogue) {
		FleetView fleet = new FleetView();
		catalogue.specs().forEach((id, spec) -> fleet.models.put(id, new ModelView(id, spec)));
		for (EngineState state : input.engines()) {
			fleet.add(new EngineView(state));
		}
		fleet.setNeeds();
		fleet.setSuccessors(catalogue);
		fleet.setAdapterHeadroom();
		return fleet;
	}

	private void add(EngineView engine) {
		this.engines.put(engine.state.id(), engine);
		if (engine.isUsable) {
			this.usable.add(engine);
		}
		for (Resident resident : engine.state.report().residents()) {
			boolean isRemoving = engine.state.pendingUnloads().contains(resident.model());
			add(engine, resident.model(), resident.bytes(), stateOf(resident), isRemoving);
		}
		for (ModelId pending : engine.state.pendingLoads()) {
			if (engine.replica(pending) == null) {
				ModelSpec spec = model(pending).spec;
				add(engine, pending, (spec != null) ? spec.bytes() : 0, Replica.State.RECORDED, false);
			}
		}
	}

	private void add(EngineView engine, ModelId id, long bytes, Replica.State state, boolean isRemoving) {
		Replica replica = new Replica(engine, model(id), bytes, state, isRemoving);
		engine.add(replica);
		replica.model.add(replica);
	}

	private ModelView model(ModelId id) {
		return this.models.computeIfAbsent(id, (key) -> new ModelView(key, null));
	}

	private static Replica.State stateOf(Resident resident) {
		return switch (resident.state()) {
			case LOADING -> Replica.State.LOADING;
			case READY -> Replica.State.READY;
			case UNLOADING -> Replica.State.UNLOADING;
		};
	}

	private void setNeeds() {
		Set<DataCentre> dataCentres = new HashSet<>();
		this.engines.values().forEach((engine) -> dataCentres.add(engine.state.dataCentre()));
		int spread = (dataCentres.size() > 1) ? 2 : 1;
		for (ModelView model : this.models.values()) {
			if (model.isListed() && !model.isAdapter()) {
				int wanted = Math.max(spread, model.spec.minReplicas());
				model.need = Math.max(1, Math.min(wanted, model.spec.maxReplicas()));
			}
		}
	}

	private void setSuccessors(Catalogue catalogue) {
		for (ModelView model : this.models.values()) {
			ModelId listed = model.isListed() ? null : catalogue.listedOfFamily(ModelView.familyOf(model.id));
			model.successor = (listed != null) ? this.models.get(listed) : null;
		}
	}

	private void setAdapterHeadroom() {
		long largest = 0;
		long total = 0;
		for (ModelView model : this.models.values()) {
			long bytes = model.isAdapter() ? model.spec.bytes() : 0;
			largest = Math.max(largest, bytes);
			total += bytes;
		}
		this.adapterHeadroomBytes = Math.min(total, HEADROOM_ADAPTERS * largest);
	}

	/**
	 * Sets the demand of each model and the load of each engine.
	 * @param tracker the smoothed demand
	 * @param demand the demand of this round
	 */
	void setDemand(DemandTracker tracker, Map<ModelId, ModelDemand> demand) {
		int count = Math.max(1, this.usable.size());
		this.meanLoad = tracker.totalTokens() / count;
		double value = 0;
		for (ModelView model : this.models.values()) {
			model.demand = tracker.estimate(model.id, this.meanLoad);
			model.waiting = demand.getOrDefault(model.id, ModelDemand.NONE).waiting();
			model.isIdle = model.waiting == 0 && model.demand.tokens() <= IDLE_LOAD * this.meanLoad;
			value += model.demand.value();
		}
		inheritDemand();
		this.gain = ReplicaGain.of(this.meanLoad, value / count);
		setLoads();
	}

	// A new version starts with the demand of the version it replaces; otherwise it would
	// be given one replica and the shift would overload it.
	private void inheritDemand() {
		for (ModelView model : this.models.values()) {
			ModelView successor = model.successor;
			if (successor != null && successor.demand.tokens() < model.demand.tokens()) {
				successor.demand = model.demand;
			}
		}
	}

	private void setLoads() {
		for (EngineView engine : this.engines.values()) {
			for (Replica replica : engine.replicas) {
				engine.load += loadOf(replica);
			}
		}
		for (ModelView model : this.models.values()) {
			model.congestion = congestionOf(model.replicas);
		}
	}

	/**
	 * Returns the load that a copy is expected to carry, in tokens per second.
	 * @param replica the copy
	 * @return the load that a copy is expected to carry, in tokens per second
	 */
	double loadOf(Replica replica) {
		if (!replica.isExpected()) {
			return 0;
		}
		return replica.model.demand.tokens() / Math.max(1, replica.model.expected());
	}

	private double congestionOf(Collection<Replica> replicas) {
		double sum = 0;
		int count = 0;
		for (Replica replica : replicas) {
			if (replica.isExpected()) {
				sum += replica.engine.load;
				count++;
			}
		}
		if (count == 0 || this.meanLoad <= 0) {
			return 1;
		}
		// The bounds keep one badly balanced engine from dominating every decision.
		return Math.min(4, Math.max(0.5, sum / count / this.meanLoad));
	}

	/**
	 * Returns the copies in flight, either of models or of adapters.
	 * @param isAdapters true to count adapters, false to count models
	 * @return the copies in flight, either of models or of adapters
	 */
	int inFlight(boolean isAdapters) {
		int count = 0;
		for (EngineView engine : this.engines.values()) {
			for (Replica replica : engine.replicas) {
				if (replica.isInFlight() && !engine.state.isSuspect() && replica.model.isAdapter() == isAdapters) {
					count++;
				}
			}
		}
		return count;
	}

	/**
	 * Adds a planned load to the view.
	 * @param engine the engine
	 * @param model the model
	 */
	void plan(EngineView engine, ModelView model) {
		engine.freeBytes -= model.spec.bytes();
		add(engine, model.id, model.spec.bytes(), Replica.State.RECORDED, false);
		engine.load += model.demand.tokens() / Math.max(1, model.expected());
	}

}
