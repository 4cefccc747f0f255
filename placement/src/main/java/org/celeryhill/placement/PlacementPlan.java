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
 * @param steps the steps to take now, most important first, not null
 * @param findings what the plan cannot satisfy, not null
 * @param reasons why each model stands where it stands, one line by model, not null
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
	 * @param engine the engine, not null
	 * @param action what to do, not null
	 * @param model the model, adapter or role, not null
	 * @param bytes the memory that it takes or frees, in bytes
	 * @param reason why, for explanations, not null
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
