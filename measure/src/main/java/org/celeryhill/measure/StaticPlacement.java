package org.celeryhill.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.celeryhill.base.AttemptId;
import org.celeryhill.config.ModelSpec;
import org.celeryhill.port.EngineReport;

/**
 * Baseline placement, which distributes the models evenly over the engines and never
 * moves them. An engine that restarts empty loads its models again. Every run starts with
 * this placement.
 */
final class StaticPlacement implements PlacementPolicy {

	/** Models of each engine, by position of the engine. */
	private final List<List<ModelSpec>> models = new ArrayList<>();

	/** Number of commands so far. */
	private long commandCount;

	/**
	 * Distributes the models until no replica fits. In each round every model gets one
	 * more replica, on the engine with the most free memory, in a data centre without a
	 * replica if possible.
	 * @param deployment the deployment with the models and engines
	 */
	StaticPlacement(Deployment deployment) {
		long[] free = new long[deployment.engines];
		for (int i = 0; i < deployment.engines; i++) {
			this.models.add(new ArrayList<>());
			free[i] = Deployment.ENGINE_MEMORY;
		}
		List<ModelSpec> specs = new ArrayList<>();
		for (int i = 0; i < deployment.organisations.size(); i++) {
			deployment.createModelSpecs(i).stream().filter((one) -> !one.isAdapter()).forEach(specs::add);
		}
		specs.sort(Comparator.comparingLong(ModelSpec::bytes).reversed().thenComparing(ModelSpec::id));
		boolean isPlaced = true;
		while (isPlaced) {
			isPlaced = false;
			for (ModelSpec spec : specs) {
				Optional<Integer> engine = findBestEngine(spec, free);
				if (engine.isPresent()) {
					this.models.get(engine.get()).add(spec);
					free[engine.get()] -= spec.bytes();
					isPlaced = true;
				}
			}
		}
	}

	private Optional<Integer> findBestEngine(ModelSpec spec, long[] free) {
		Integer best = null;
		for (int i = 0; i < free.length; i++) {
			if (free[i] < spec.bytes() || this.models.get(i).contains(spec)) {
				continue;
			}
			if (best == null || scoreEngine(spec, i, free) > scoreEngine(spec, best, free)) {
				best = i;
			}
		}
		return Optional.ofNullable(best);
	}

	private long scoreEngine(ModelSpec spec, int engine, long[] free) {
		for (int i = 0; i < free.length; i++) {
			boolean isSame = Deployment.dataCentre(i).equals(Deployment.dataCentre(engine));
			if (isSame && this.models.get(i).contains(spec)) {
				return free[engine];
			}
		}
		return free[engine] + Deployment.ENGINE_MEMORY;
	}

	/**
	 * Makes the models ready on all engines without loads, for the start of a run.
	 * @param run the simulation with the engines
	 */
	void install(Simulation run) {
		for (int i = 0; i < run.engines.size(); i++) {
			for (ModelSpec spec : this.models.get(i)) {
				run.engines.get(i).residents.put(spec.id(),
						new EngineReport.Resident(spec.id(), spec.bytes(), EngineReport.ResidentState.READY));
			}
		}
	}

	@Override
	public void runRound(Simulation run) {
		for (int i = 0; i < run.engines.size(); i++) {
			SimulatedEngine engine = run.engines.get(i);
			if (engine.isAlive && engine.residents.isEmpty()) {
				for (ModelSpec spec : this.models.get(i)) {
					engine.load(AttemptId.of("static-" + this.commandCount++), spec.id(), spec.bytes());
				}
			}
		}
	}

}
