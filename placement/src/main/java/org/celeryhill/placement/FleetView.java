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
 * Engines and models of one planning round, linked by their replicas. Not thread-safe.
 */
final class FleetView {

	/** Most adapters for which memory is kept free on each engine. */
	private static final int MAX_HEADROOM_ADAPTERS = 4;

	/** Fraction of the mean engine load up to which a model counts as idle. */
	private static final double IDLE_LOAD_RATIO = 0.001;

	/** Engines by id, in the order of the input. */
	final Map<BackendServerId, EngineView> engines = new LinkedHashMap<>();

	/** Listed and resident models by id. */
	final Map<ModelId, ModelView> models = new LinkedHashMap<>();

	/** Engines that respond and are not draining. */
	final List<EngineView> usableEngines = new ArrayList<>();

	/** Expected gain of adding and removing replicas under the current demand. */
	ReplicaGain gain = ReplicaGain.of(0, 0);

	/** Mean load of a usable engine, in tokens per second. */
	double meanLoad;

	/** Memory that spare replicas must leave free on each engine, in bytes. */
	long adapterHeadroomBytes;

	private FleetView() {
	}

	/**
	 * Creates the view of a round without its demand.
	 * @param input the input of the round
	 * @param catalogue the models that the revision lists
	 * @return the view
	 */
	static FleetView of(PlanInput input, ModelCatalogue catalogue) {
		FleetView fleet = new FleetView();
		catalogue.specs().forEach((id, spec) -> fleet.models.put(id, new ModelView(id, spec)));
		for (EngineState state : input.engines()) {
			fleet.add(new EngineView(state));
		}
		fleet.setRequiredReplicas();
		fleet.setSuccessors(catalogue);
		fleet.setAdapterHeadroom();
		return fleet;
	}

	private void add(EngineView engine) {
		this.engines.put(engine.state.id(), engine);
		if (engine.isUsable) {
			this.usableEngines.add(engine);
		}
		for (Resident resident : engine.state.report().residents()) {
			boolean isUnloadPending = engine.state.pendingUnloads().contains(resident.model());
			add(engine, resident.model(), resident.bytes(), stateOf(resident), isUnloadPending);
		}
		for (ModelId pending : engine.state.pendingLoads()) {
			if (engine.findReplica(pending) == null) {
				ModelSpec spec = model(pending).spec;
				add(engine, pending, (spec != null) ? spec.bytes() : 0, Replica.State.RECORDED, false);
			}
		}
	}

	private void add(EngineView engine, ModelId id, long bytes, Replica.State state, boolean isUnloadPending) {
		Replica replica = new Replica(engine, model(id), bytes, state, isUnloadPending);
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

	private void setRequiredReplicas() {
		Set<DataCentre> dataCentres = new HashSet<>();
		this.engines.values().forEach((engine) -> dataCentres.add(engine.state.dataCentre()));
		int minDataCentres = (dataCentres.size() > 1) ? 2 : 1;
		for (ModelView model : this.models.values()) {
			if (model.isListed() && !model.isAdapter()) {
				int targetReplicas = Math.max(minDataCentres, model.spec.minReplicas());
				model.requiredReplicas = Math.max(1, Math.min(targetReplicas, model.spec.maxReplicas()));
			}
		}
	}

	private void setSuccessors(ModelCatalogue catalogue) {
		for (ModelView model : this.models.values()) {
			ModelId listed = model.isListed() ? null : catalogue.findListedInFamily(ModelView.familyOf(model.id));
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
		this.adapterHeadroomBytes = Math.min(total, MAX_HEADROOM_ADAPTERS * largest);
	}

	/**
	 * Sets the demand of each model and the expected load of each engine.
	 * @param tracker the smoothed demand
	 * @param demand the demand as measured for this round
	 */
	void setDemand(DemandTracker tracker, Map<ModelId, ModelDemand> demand) {
		int count = Math.max(1, this.usableEngines.size());
		this.meanLoad = tracker.totalTokensPerSecond() / count;
		double value = 0;
		for (ModelView model : this.models.values()) {
			model.demand = tracker.estimate(model.id, this.meanLoad);
			model.waiting = demand.getOrDefault(model.id, ModelDemand.NONE).waiting();
			model.isIdle = model.waiting == 0 && model.demand.tokens() <= IDLE_LOAD_RATIO * this.meanLoad;
			value += model.demand.value();
		}
		inheritDemand();
		this.gain = ReplicaGain.of(this.meanLoad, value / count);
		setLoads();
	}

	// A new version starts with the demand of the version that it replaces. Otherwise it
	// would get one replica, which the shifted traffic would overload.
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
	 * Returns the load that a replica is expected to carry: an equal share of the demand
	 * for its model.
	 * @param replica the replica, in any state
	 * @return the load in tokens per second, 0 if the replica is not expected to serve
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
		// Bounded so that one badly balanced engine does not dominate every decision.
		return Math.min(4, Math.max(0.5, sum / count / this.meanLoad));
	}

	/**
	 * Counts the loads that have not finished on engines that respond.
	 * @param areAdaptersCounted true to count adapters, false to count models
	 * @return the number of unfinished loads
	 */
	int countInFlight(boolean areAdaptersCounted) {
		int count = 0;
		for (EngineView engine : this.engines.values()) {
			for (Replica replica : engine.replicas) {
				if (replica.isInFlight() && !engine.state.isSuspect()
						&& replica.model.isAdapter() == areAdaptersCounted) {
					count++;
				}
			}
		}
		return count;
	}

	/**
	 * Adds a load that this round has planned to the view.
	 * @param engine the engine that loads the model
	 * @param model the model, listed
	 */
	void addPlannedLoad(EngineView engine, ModelView model) {
		engine.freeBytes -= model.spec.bytes();
		add(engine, model.id, model.spec.bytes(), Replica.State.RECORDED, false);
		engine.load += model.demand.tokens() / Math.max(1, model.expected());
	}

}
