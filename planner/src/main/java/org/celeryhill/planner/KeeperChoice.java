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
final class KeeperChoice {

	/** States of the engines on which the plan rests, by id. */
	private final Map<BackendServerId, EngineState> states;

	/** Models that the configuration lists. */
	private final Set<ModelId> listed;

	/** Listed model by family. */
	private final Map<String, ModelId> byFamily = new HashMap<>();

	/** Removals of the plan. */
	private final Set<Copy> removals = new HashSet<>();

	KeeperChoice(Map<BackendServerId, EngineState> states, Revision revision, ServiceId service,
			Collection<PlacementPlan.Step> steps) {
		this.states = Objects.requireNonNull(states, "states");
		this.listed = revision.organisations()
			.stream()
			.filter((one) -> one.service().equals(service))
			.flatMap((one) -> one.models().stream())
			.map(ModelSpec::id)
			.collect(Collectors.toSet());
		this.listed.forEach((model) -> this.byFamily.put(family(model), model));
		steps.stream()
			.filter((step) -> step.action().isUnload())
			.forEach((step) -> this.removals.add(new Copy(step.engine(), step.model())));
	}

	/**
	 * Returns whether a step may only be sent if a copy keeps the model reachable.
	 * @param step the step, not null
	 * @return true for an unload of a listed model or of one with a listed successor;
	 * adapters are loaded on demand
	 */
	boolean isRequired(PlacementPlan.Step step) {
		boolean isReachable = this.listed.contains(step.model()) || successor(step.model()).isPresent();
		return step.action() == Action.UNLOAD_MODEL && isReachable;
	}

	private Optional<ModelId> successor(ModelId model) {
		return this.listed.contains(model) ? Optional.empty() : Optional.ofNullable(this.byFamily.get(family(model)));
	}

	private static String family(ModelId model) {
		int at = model.value().lastIndexOf('@');
		return (at > 0) ? model.value().substring(0, at) : model.value();
	}

	/**
	 * Returns the copy that keeps the model of an unload reachable.
	 * @param step the step, not null
	 * @return the copy, or empty if no engine that stays has one ready
	 */
	Optional<Copy> keeper(PlacementPlan.Step step) {
		Optional<Copy> same = keeper(step.model(), step.engine());
		return (same.isPresent()) ? same : successor(step.model()).flatMap((model) -> keeper(model, null));
	}

	private Optional<Copy> keeper(ModelId model, BackendServerId except) {
		return this.states.values()
			.stream()
			.filter((state) -> !state.id().equals(except))
			.filter((state) -> !state.isLeaving() && !state.isSuspect())
			.filter((state) -> state.report().isReady(model))
			.filter((state) -> !state.pendingUnloads().contains(model))
			.map((state) -> new Copy(state.id(), model))
			.filter((copy) -> !this.removals.contains(copy))
			.findFirst();
	}

	/**
	 * A copy of a model.
	 *
	 * @param engine the engine
	 * @param model the model
	 */
	record Copy(BackendServerId engine, ModelId model) {

	}

}
