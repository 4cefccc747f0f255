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
 * Input of one planning round. Immutable and thread-safe.
 *
 * @param service the service whose engines are planned, not null
 * @param revision the configuration in force, not null
 * @param engines the observed state of each engine of the service, not null
 * @param demand the recent demand for each model and adapter, not null
 * @param nowNanos the monotonic time in nanoseconds
 * @param budgetDivisor the number of planners that share the limits of the weight store,
 * at least 1; this planner uses the limits divided by it
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
	 * @param dataCentre the data centre of the engine, not null
	 * @param report its latest report, not null
	 * @param committedBytes the memory that is in use or promised according to the
	 * command ledger, in bytes: legacy serving system, resident models and unsettled
	 * loads
	 * @param pendingLoads the models whose load is recorded but not settled, not null
	 * @param pendingUnloads the models whose unload is recorded but not settled, not null
	 * @param isLeaving whether the engine is draining
	 * @param isSuspect whether the engine does not respond
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
	 * Recent demand for a model.
	 *
	 * @param tokensPerSecond the requested tokens per second, prompts included
	 * @param valuePerSecond the value of the requests per second
	 * @param waiting the number of requests that are queued now
	 */
	public record ModelDemand(double tokensPerSecond, double valuePerSecond, int waiting) {

		/** No demand. */
		public static final ModelDemand NONE = new ModelDemand(0, 0, 0);

	}

}
