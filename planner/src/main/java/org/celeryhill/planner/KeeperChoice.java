package org.celeryhill.planner;

import java.util.Collection;
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
 * Chooses the engine that keeps a model which another engine is to unload. Immutable.
 */
final class KeeperChoice {

	/** States of the engines on which the plan rests, by id. */
	private final Map<BackendServerId, EngineState> states;

	/** Models that the configuration lists. */
	private final Set<ModelId> listed;

	/** Removals of the plan. */
	private final Set<Removal> removals = new HashSet<>();

	KeeperChoice(Map<BackendServerId, EngineState> states, Revision revision, ServiceId service,
			Collection<PlacementPlan.Step> steps) {
		this.states = Objects.requireNonNull(states, "states");
		this.listed = revision.organisations()
			.stream()
			.filter((one) -> one.service().equals(service))
			.flatMap((one) -> one.models().stream())
			.map(ModelSpec::id)
			.collect(Collectors.toSet());
		steps.stream()
			.filter((step) -> step.action().isUnload())
			.forEach((step) -> this.removals.add(new Removal(step.engine(), step.model())));
	}

	/**
	 * Returns whether a step may only be sent if another engine keeps the model.
	 * @param step the step, not null
	 * @return true for an unload of a listed model; adapters are loaded on demand
	 */
	boolean isRequired(PlacementPlan.Step step) {
		return step.action() == Action.UNLOAD_MODEL && this.listed.contains(step.model());
	}

	/**
	 * Returns the engine that keeps the model of an unload.
	 * @param step the step, not null
	 * @return the engine, or empty if no other engine that stays has the model ready
	 */
	Optional<BackendServerId> keeper(PlacementPlan.Step step) {
		return this.states.values()
			.stream()
			.filter((state) -> !state.id().equals(step.engine()))
			.filter((state) -> !state.isLeaving() && !state.isSuspect())
			.filter((state) -> state.report().isReady(step.model()))
			.filter((state) -> !state.pendingUnloads().contains(step.model()))
			.map(EngineState::id)
			.filter((id) -> !this.removals.contains(new Removal(id, step.model())))
			.findFirst();
	}

	/**
	 * A planned removal.
	 *
	 * @param engine the engine
	 * @param model the model
	 */
	private record Removal(BackendServerId engine, ModelId model) {

	}

}
