package org.celeryhill.planner;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.ServiceId;
import org.celeryhill.config.ModelSpec;
import org.celeryhill.config.Revision;
import org.celeryhill.placement.PlacementPlan;
import org.celeryhill.placement.PlanInput.EngineState;
import org.celeryhill.port.EngineCommand.Action;

/**
 * Selects the keeper for each planned unload: the replica through which a model stays
 * reachable after an engine has unloaded it. The keeper is a replica of the same model on
 * another engine or, after a version change, a replica of its successor. Immutable.
 */
final class KeeperSelector {

	/** States of the engines on which the plan is based, by engine id. */
	private final Map<BackendServerId, EngineState> states;

	/** Models listed in the configuration. */
	private final Set<ModelId> listedModels;

	/** Listed model by family, which is the model id without its version. */
	private final Map<String, ModelId> listedModelByFamily = new HashMap<>();

	/** Replicas that the plan unloads. */
	private final Set<Replica> unloadedReplicas = new HashSet<>();

	KeeperSelector(Map<BackendServerId, EngineState> states, Revision revision, ServiceId service,
			Collection<PlacementPlan.Step> steps) {
		this.states = Objects.requireNonNull(states, "states");
		this.listedModels = revision.organisations()
			.stream()
			.filter((parameters) -> parameters.service().equals(service))
			.flatMap((parameters) -> parameters.models().stream())
			.map(ModelSpec::id)
			.collect(Collectors.toSet());
		this.listedModels.forEach((model) -> this.listedModelByFamily.put(familyOf(model), model));
		steps.stream()
			.filter((step) -> step.action().isUnload())
			.forEach((step) -> this.unloadedReplicas.add(new Replica(step.engine(), step.model())));
	}

	/**
	 * Returns whether a step may be sent only if there is a keeper for it.
	 * @param step the step, not null
	 * @return true for an unload of a model that is listed or has a listed successor;
	 * false for adapters, which are loaded on demand
	 */
	boolean isKeeperRequired(PlacementPlan.Step step) {
		boolean isReachable = this.listedModels.contains(step.model()) || findSuccessor(step.model()).isPresent();
		return step.action() == Action.UNLOAD_MODEL && isReachable;
	}

	private Optional<ModelId> findSuccessor(ModelId model) {
		return this.listedModels.contains(model) ? Optional.empty()
				: Optional.ofNullable(this.listedModelByFamily.get(familyOf(model)));
	}

	private static String familyOf(ModelId model) {
		int versionIndex = model.value().lastIndexOf('@');
		return (versionIndex > 0) ? model.value().substring(0, versionIndex) : model.value();
	}

	/**
	 * Returns the keeper for an unload.
	 * @param step the step that unloads the model, not null
	 * @return the keeper, or empty if no engine that stays has a ready replica
	 */
	Optional<Replica> selectKeeper(PlacementPlan.Step step) {
		Optional<Replica> sameModelKeeper = selectKeeper(step.model(), step.engine());
		return (sameModelKeeper.isPresent()) ? sameModelKeeper
				: findSuccessor(step.model()).flatMap((model) -> selectKeeper(model, null));
	}

	private Optional<Replica> selectKeeper(ModelId model, BackendServerId excludedEngine) {
		return this.states.values()
			.stream()
			.filter((state) -> !state.id().equals(excludedEngine))
			.filter((state) -> !state.isLeaving() && !state.isSuspect())
			.filter((state) -> state.report().isReady(model))
			.filter((state) -> !state.pendingUnloads().contains(model))
			.map((state) -> new Replica(state.id(), model))
			.filter((replica) -> !this.unloadedReplicas.contains(replica))
			.findFirst();
	}

	/**
	 * Replica of a model on an engine.
	 *
	 * @param engine the engine that holds the replica
	 * @param model the model of the replica
	 */
	record Replica(BackendServerId engine, ModelId model) {

	}

}
