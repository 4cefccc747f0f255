package org.celeryhill.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;

import org.celeryhill.base.Finding;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.ServiceId;
import org.celeryhill.config.Revision;
import org.celeryhill.config.ServiceTemplate;

/**
 * Planner that keeps the required replicas of every model and gives spare memory to the
 * models that gain most from it. It keeps smoothed demand, budgets and its own moves
 * between rounds; a new instance rebuilds them from the input within minutes, and no
 * safety rule depends on them. Not thread-safe.
 */
public final class ReplicaPlacementPlanner implements PlacementPlanner {

	/** Smoothed demand by model. */
	private final DemandTracker demandTracker = new DemandTracker();

	/** Share of the weight store's limits that this planner may use. */
	private final LoadBudget loadBudget = new LoadBudget();

	/** Reservations and recent moves. */
	private final MoveHistory moveHistory = new MoveHistory();

	/** Revision from which the cached catalogue was built. */
	private Revision revision;

	/** Service for which the cached catalogue was built. */
	private ServiceId service;

	/** Cached models of the service. */
	private ModelCatalogue catalogue;

	/** Fleet of the last capacity check, or null to force a new check. */
	private Map<CapacityCheck.EngineCapacity, Long> checkedFleet;

	/** Findings of the last capacity check. */
	private List<Finding> capacityFindings = List.of();

	private ReplicaPlacementPlanner() {
	}

	/**
	 * Creates a planner without state from earlier rounds.
	 * @return the planner, never null
	 */
	public static ReplicaPlacementPlanner create() {
		return new ReplicaPlacementPlanner();
	}

	/**
	 * Plans one round. The plan has no steps if the revision has no template for the
	 * service.
	 * @param input the engines, demand and configuration of this round, not null
	 * @return the plan, never null
	 * @throws IllegalArgumentException if the budget divisor is below 1
	 */
	@Override
	public PlacementPlan plan(PlanInput input) {
		Objects.requireNonNull(input, "input");
		if (input.budgetDivisor() < 1) {
			throw new IllegalArgumentException("budgetDivisor must be at least 1: " + input.budgetDivisor());
		}
		return input.revision()
			.findTemplate(input.service())
			.map((template) -> plan(input, template))
			.orElseGet(() -> createEmptyPlan(input));
	}

	private static PlacementPlan createEmptyPlan(PlanInput input) {
		String message = "revision " + input.revision().number()
				+ " has no template for this service; nothing is planned";
		Finding finding = Finding.warning(PlanningRound.FINDING_SOURCE, 0, "services." + input.service(), message);
		return new PlacementPlan(List.of(), List.of(finding), Map.of());
	}

	private PlacementPlan plan(PlanInput input, ServiceTemplate template) {
		updateCatalogue(input);
		FleetView fleet = FleetView.of(input, this.catalogue);
		this.demandTracker.update(input.demand(), fleet.models.keySet(), input.nowNanos());
		fleet.setDemand(this.demandTracker, input.demand());
		this.moveHistory.startRound(fleet, input.nowNanos());
		this.loadBudget.startRound(template.limits(), input.budgetDivisor(), fleet.countInFlight(false),
				fleet.countInFlight(true), input.nowNanos());
		PlanningRound round = new PlanningRound(fleet, this.loadBudget, this.moveHistory);
		new RoleChangePhase(round).run();
		new ModelLoadPhase(round).run();
		new UnloadPhase(round).run();
		new AdapterLoadPhase(round).run();
		round.findings.addAll(checkCapacity(input));
		return new PlacementPlan(round.steps, round.findings, describeModels(fleet));
	}

	private void updateCatalogue(PlanInput input) {
		boolean isSame = input.revision().equals(this.revision) && input.service().equals(this.service);
		if (!isSame) {
			this.catalogue = ModelCatalogue.of(input.revision(), input.service());
			this.revision = input.revision();
			this.service = input.service();
			this.checkedFleet = null;
		}
	}

	private List<Finding> checkCapacity(PlanInput input) {
		Map<CapacityCheck.EngineCapacity, Long> fleet = CapacityCheck.countByCapacity(input.engines());
		if (!fleet.equals(this.checkedFleet)) {
			this.checkedFleet = fleet;
			this.capacityFindings = CapacityCheck.check(this.catalogue, input.service(), fleet);
		}
		return this.capacityFindings;
	}

	private static Map<ModelId, String> describeModels(FleetView fleet) {
		Map<ModelId, String> reasons = new HashMap<>();
		fleet.models.values().forEach((model) -> reasons.put(model.id, describe(model)));
		return reasons;
	}

	private static String describe(ModelView model) {
		StringBuilder line = new StringBuilder(96).append("ready=")
			.append(model.ready())
			.append(" expected=")
			.append(model.expected())
			.append(" need=")
			.append(model.requiredReplicas)
			.append(" tokens_per_second=")
			.append(Math.round(model.demand.tokens()))
			.append(" value_per_second=")
			.append(Math.round(model.demand.value() * 100) / 100.0);
		if (!model.isListed()) {
			line.append(" unlisted");
		}
		return line.append(": ").append(model.reason.isEmpty() ? "no change" : model.reason).toString();
	}

	/**
	 * Returns a summary for the state dump.
	 * @return one line of key=value pairs, never null
	 */
	public String describe() {
		return String.format(Locale.ROOT, "rooms=%d total_tokens_per_second=%.0f budget_findings=%d",
				this.moveHistory.reservationCount(), this.demandTracker.totalTokensPerSecond(),
				this.capacityFindings.size());
	}

}
