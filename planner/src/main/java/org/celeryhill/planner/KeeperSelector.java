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
 * Chooses the copy that keeps a model reachable which an engine is to unload: the same
 * model on another engine, or its successor after a version change. Immutable.
 */
final class KeeperSelector {

	/** States of the engines on which the plan rests, by id. */
	private final Map<BackendServerId, EngineState> states;

	/** Models that the configuration lists. */
	private final Set<ModelId> listedModels;

	/** Listed model by family. */
	private final Map<String, ModelId> listedModelByFamily = new HashMap<>();

	/** Removals of the plan. */
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
	 * Returns whether a step may only be sent if a copy keeps the model reachable.
	 * @param step the step, not null
	 * @return true for an unload of a listed model or of one with a listed successor;
	 * adapters are loaded on demand
	 */
	boolean isKeeperRequired(PlacementPlan.Step step) {
		boolean isReachable = this.listedModels.contains(step.model()) || findSuccessor(step.model()).isPresent();
		return step.action() == Action.UNLOAD_MODEL && isReachable;
	}

	private Optional<ModelId> findSuccessor(ModelId model) {
		return this.listedModels.contains(model) ? Optional.empty() : Optional.ofNullable(this.listedModelByFamily.get(familyOf(model)));
	}

	private static String familyOf(ModelId model) {
		int versionIndex = model.value().lastIndexOf('@');
		return (versionIndex > 0) ? model.value().substring(0, versionIndex) : model.value();
	}

	/**
	 * Returns the copy that keeps the model of an unload reachable.
	 * @param step the step, not null
	 * @return the copy, or empty if no engine that stays has one ready
	 */
	Optional<Replica> selectKeeper(PlacementPlan.Step step) {
		Optional<Replica> sameModelKeeper = selectKeeper(step.model(), step.engine());
		return (sameModelKeeper.isPresent()) ? sameModelKeeper : findSuccessor(step.model()).flatMap((model) -> selectKeeper(model, null));
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
	 * A copy of a model.
	 *
	 * @param engine the engine
	 * @param model the model
	 */
	record Replica(BackendServerId engine, ModelId model) {

	}

}
