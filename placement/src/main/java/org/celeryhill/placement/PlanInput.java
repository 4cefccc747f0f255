package org.celeryhill.placement;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.ServiceId;
import org.celeryhill.config.Revision;
import org.celeryhill.port.EngineReport;

/**
 * What one planning round knows. Immutable and thread-safe.
 *
 * @param service the service whose engines are planned, not null
 * @param revision the configuration in force, not null
 * @param engines the engines of the service, not null
 * @param demand the demand by model and adapter, not null
 * @param nowNanos the monotonic time in nanoseconds
 * @param budgetDivisor the number of planners that may share the limits of the weight
 * store; this planner uses one part of it, at least 1
 */
public record PlanInput(ServiceId service, Revision revision, List<EngineState> engines,
		Map<ModelId, ModelDemand> demand, long nowNanos, int budgetDivisor) {

	/** Creates an input and copies the collections. */
	public PlanInput {
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(revision, "revision");
		engines = List.copyOf(engines);
		demand = Map.copyOf(demand);
	}

	/**
	 * State of one engine.
	 *
	 * @param id the engine, not null
	 * @param dataCentre where it stands, not null
	 * @param report its latest report, not null
	 * @param committedBytes the bytes that count as taken by the command ledger: old
	 * system, residents and unsettled loads
	 * @param pendingLoads the models whose load is recorded and not settled, not null
	 * @param pendingUnloads the models whose unload is recorded and not settled, not null
	 * @param isLeaving whether it is to be emptied
	 * @param isSuspect whether it does not answer
	 */
	public record EngineState(BackendServerId id, DataCentre dataCentre, EngineReport report, long committedBytes,
			Set<ModelId> pendingLoads, Set<ModelId> pendingUnloads, boolean isLeaving, boolean isSuspect) {

		/** Creates a state and copies the sets. */
		public EngineState {
			Objects.requireNonNull(id, "id");
			Objects.requireNonNull(dataCentre, "dataCentre");
			Objects.requireNonNull(report, "report");
			pendingLoads = Set.copyOf(pendingLoads);
			pendingUnloads = Set.copyOf(pendingUnloads);
		}

	}

	/**
	 * Demand for a model.
	 *
	 * @param tokensPerSecond the recent demand in tokens a second, prompts included
	 * @param valuePerSecond the value of the recent requests a second
	 * @param waiting the requests that wait now
	 */
	public record ModelDemand(double tokensPerSecond, double valuePerSecond, int waiting) {

		/** No demand. */
		public static final ModelDemand NONE = new ModelDemand(0, 0, 0);

	}

}
