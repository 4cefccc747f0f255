package org.celeryhill.placement;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.Finding;
import org.celeryhill.base.ModelId;
import org.celeryhill.port.EngineCommand;

/**
 * Result of one planning round. Immutable and thread-safe.
 *
 * @param steps the commands to send now, most important first, not null
 * @param findings the requirements that the plan cannot meet, not null
 * @param reasons the replicas of each model and the reason for its latest change, one
 * line for each model, not null
 */
public record PlacementPlan(List<Step> steps, List<Finding> findings, Map<ModelId, String> reasons) {

	/** Creates a plan and copies the collections. */
	public PlacementPlan {
		steps = List.copyOf(steps);
		findings = List.copyOf(findings);
		reasons = Map.copyOf(reasons);
	}

	/**
	 * One command that the plan asks for.
	 *
	 * @param engine the engine that the command is sent to, not null
	 * @param action the command, not null
	 * @param model the model or adapter, or the name of the new role, not null
	 * @param bytes the memory that the command takes or frees, in bytes
	 * @param reason the reason in words, for operators and logs, not null
	 */
	public record Step(BackendServerId engine, EngineCommand.Action action, ModelId model, long bytes, String reason) {

		/** Creates a step. */
		public Step {
			Objects.requireNonNull(engine, "engine");
			Objects.requireNonNull(action, "action");
			Objects.requireNonNull(model, "model");
			Objects.requireNonNull(reason, "reason");
		}

	}

}
