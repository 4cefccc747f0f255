package org.celeryhill.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.celeryhill.base.DataCentre;
import org.celeryhill.base.Finding;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.ServiceId;
import org.celeryhill.config.ModelSpec;
import org.celeryhill.config.Revision;
import org.celeryhill.placement.PlanInput.EngineState;

/**
 * Checks whether one replica of each model fits into the fleet, whole and with any one
 * data centre lost. Models are packed in decreasing size into the engine with the least
 * sufficient memory; a finding therefore means that this packing fails, not that none
 * exists. Stateless and thread-safe.
 */
public final class CapacityCheck {

	private CapacityCheck() {
	}

	/**
	 * Checks a revision against a fleet, for example before the revision is proposed.
	 * @param revision the revision, not null
	 * @param service the service whose models are checked, not null
	 * @param fleet the engines of the service, not null
	 * @return an error for each model that does not fit at all and a warning for each
	 * that does not fit with some data centre lost, never null
	 */
	public static List<Finding> check(Revision revision, ServiceId service, List<EngineState> fleet) {
		Objects.requireNonNull(revision, "revision");
		Objects.requireNonNull(service, "service");
		return check(Catalogue.of(revision, service), service, capacities(fleet));
	}

	static List<Finding> check(Catalogue catalogue, ServiceId service, Map<EngineCapacity, Long> fleet) {
		List<ModelSpec> models = new ArrayList<>(catalogue.specs().values());
		models.removeIf(ModelSpec::isAdapter);
		models.sort(Comparator.comparingLong(ModelSpec::bytes).reversed().thenComparing(ModelSpec::id));
		List<Finding> findings = new ArrayList<>();
		Set<ModelId> never = unplaced(models, fleet, null);
		never.forEach((id) -> findings.add(error(service, id)));
		Map<ModelId, Set<DataCentre>> lost = new LinkedHashMap<>();
		for (DataCentre dataCentre : dataCentres(fleet)) {
			for (ModelId id : unplaced(models, fleet, dataCentre)) {
				lost.computeIfAbsent(id, (key) -> new TreeSet<>()).add(dataCentre);
			}
		}
		lost.keySet().removeAll(never);
		lost.forEach((id, dataCentres) -> findings.add(warning(service, id, dataCentres)));
		return List.copyOf(findings);
	}

	/**
	 * Counts the engines by data centre and memory.
	 * @param engines the engines
	 * @return the number of engines by capacity
	 */
	static Map<EngineCapacity, Long> capacities(List<EngineState> engines) {
		Map<EngineCapacity, Long> capacities = new HashMap<>();
		for (EngineState engine : engines) {
			long bytes = engine.report().memoryBytes() - engine.report().legacyBytes();
			capacities.merge(new EngineCapacity(engine.dataCentre(), bytes), 1L, Long::sum);
		}
		return capacities;
	}

	private static Set<DataCentre> dataCentres(Map<EngineCapacity, Long> fleet) {
		Set<DataCentre> dataCentres = new TreeSet<>();
		fleet.keySet().forEach((capacity) -> dataCentres.add(capacity.dataCentre()));
		return dataCentres;
	}

	private static Set<ModelId> unplaced(List<ModelSpec> models, Map<EngineCapacity, Long> fleet, DataCentre lost) {
		TreeMap<Long, Long> free = new TreeMap<>();
		fleet.forEach((capacity, count) -> {
			if (!capacity.dataCentre().equals(lost)) {
				free.merge(capacity.bytes(), count, Long::sum);
			}
		});
		Set<ModelId> unplaced = new TreeSet<>();
		for (ModelSpec model : models) {
			Map.Entry<Long, Long> engine = free.ceilingEntry(model.bytes());
			if (engine == null) {
				unplaced.add(model.id());
				continue;
			}
			free.merge(engine.getKey(), -1L, (count, less) -> (count > 1) ? count + less : null);
			free.merge(engine.getKey() - model.bytes(), 1L, Long::sum);
		}
		return unplaced;
	}

	private static Finding error(ServiceId service, ModelId id) {
		return Finding.error("placement", 0, path(service, id), "does not fit into the fleet; add memory");
	}

	private static Finding warning(ServiceId service, ModelId id, Set<DataCentre> lost) {
		String message = "does not fit if one of these data centres is lost: " + lost + "; add memory elsewhere";
		return Finding.warning("placement", 0, path(service, id), message);
	}

	private static String path(ServiceId service, ModelId id) {
		return "services." + service + ".models." + id;
	}

	/**
	 * Memory of an engine.
	 *
	 * @param dataCentre the data centre
	 * @param bytes the memory without what the legacy system holds, in bytes
	 */
	record EngineCapacity(DataCentre dataCentre, long bytes) {

	}

}
