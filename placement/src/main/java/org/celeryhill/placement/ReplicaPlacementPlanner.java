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
 * Planner that keeps the needed replicas of every model and gives spare memory to the
 * models that gain most from it. It keeps smoothed demand, budgets and moves under way
 * between rounds; a new instance rebuilds them from the input within minutes and never
 * relies on them for safety. Not thread-safe.
 */
public final class ReplicaPlacementPlanner implements PlacementPlanner {

	/** Smoothed demand. */
	private final DemandTracker demand = new DemandTracker();

	/** Budget of loads. */
	private final LoadBudget budget = new LoadBudget();

	/** Moves under way. */
	private final Moves moves = new Moves();

	/** Revision of the cached catalogue. */
	private Revision revision;

	/** Service of the cached catalogue. */
	private ServiceId service;

	/** Models of the service. */
	private Catalogue catalogue;

	/** Fleet for which the failure budget was checked last. */
	private Map<CapacityCheck.EngineCapacity, Long> checkedFleet;

	/** Findings of the last check of the failure budget. */
	private List<Finding> budgetFindings = List.of();

	private ReplicaPlacementPlanner() {
	}

	/**
	 * Returns a planner without history.
	 * @return the planner, never null
	 */
	public static ReplicaPlacementPlanner create() {
		return new ReplicaPlacementPlanner();
	}

	/**
	 * Plans one round. Without a template for the service nothing is planned.
	 * @param input what is known now, not null
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
			.template(input.service())
			.map((template) -> plan(input, template))
			.orElseGet(() -> unplanned(input));
	}

	private static PlacementPlan unplanned(PlanInput input) {
		String message = "revision " + input.revision().number() + " has no template for it; nothing is planned";
		Finding finding = Finding.warning(Round.SOURCE, 0, "services." + input.service(), message);
		return new PlacementPlan(List.of(), List.of(finding), Map.of());
	}

	private PlacementPlan plan(PlanInput input, ServiceTemplate template) {
		updateCatalogue(input);
		FleetView fleet = FleetView.of(input, this.catalogue);
		this.demand.update(input.demand(), fleet.models.keySet(), input.nowNanos());
		fleet.setDemand(this.demand, input.demand());
		this.moves.startRound(fleet, input.nowNanos());
		this.budget.startRound(template.limits(), input.budgetDivisor(), fleet.inFlight(false), fleet.inFlight(true),
				input.nowNanos());
		Round round = new Round(fleet, this.budget, this.moves);
		new RolePhase(round).run();
		new LoadPhase(round).run();
		new RemovalPhase(round).run();
		new AdapterPhase(round).run();
		round.findings.addAll(checkBudget(input));
		return new PlacementPlan(round.steps, round.findings, reasons(fleet));
	}

	private void updateCatalogue(PlanInput input) {
		boolean isSame = input.revision().equals(this.revision) && input.service().equals(this.service);
		if (!isSame) {
			this.catalogue = Catalogue.of(input.revision(), input.service());
			this.revision = input.revision();
			this.service = input.service();
			this.checkedFleet = null;
		}
	}

	private List<Finding> checkBudget(PlanInput input) {
		Map<CapacityCheck.EngineCapacity, Long> fleet = CapacityCheck.capacities(input.engines());
		if (!fleet.equals(this.checkedFleet)) {
			this.checkedFleet = fleet;
			this.budgetFindings = CapacityCheck.check(this.catalogue, input.service(), fleet);
		}
		return this.budgetFindings;
	}

	private static Map<ModelId, String> reasons(FleetView fleet) {
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
			.append(model.need)
			.append(" tokens_per_second=")
			.append(Math.round(model.demand.tokens()))
			.append(" value_per_second=")
			.append(Math.round(model.demand.value() * 100) / 100.0);
		if (!model.isListed()) {
			line.append(" unlisted");
		}
		return line.append(": ").append(model.reason.isEmpty() ? "placement is kept" : model.reason).toString();
	}

	/**
	 * Returns a summary for the state dump.
	 * @return one line of key=value pairs, never null
	 */
	public String describe() {
		return String.format(Locale.ROOT, "rooms=%d total_tokens_per_second=%.0f budget_findings=%d",
				this.moves.reservedCount(), this.demand.totalTokens(), this.budgetFindings.size());
	}

}
