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
 * Checks whether one replica of each model fits into the fleet, both with all data
 * centres and with any one of them lost. The check is best-fit decreasing bin packing:
 * models in decreasing size, each into the engine with the least sufficient memory. A
 * finding means that this packing fails, not that no packing exists. Stateless and
 * thread-safe.
 */
public final class CapacityCheck {

	private CapacityCheck() {
	}

	/**
	 * Checks a revision against a fleet, for example before the revision is proposed.
	 * @param revision the revision that lists the models, not null
	 * @param service the service whose models are checked, not null
	 * @param fleet the engines of the service, not null
	 * @return an error for each model that does not fit into the whole fleet and a
	 * warning for each that does not fit once some data centre is lost, never null
	 */
	public static List<Finding> check(Revision revision, ServiceId service, List<EngineState> fleet) {
		Objects.requireNonNull(revision, "revision");
		Objects.requireNonNull(service, "service");
		return check(ModelCatalogue.of(revision, service), service, countByCapacity(fleet));
	}

	static List<Finding> check(ModelCatalogue catalogue, ServiceId service, Map<EngineCapacity, Long> fleet) {
		List<ModelSpec> models = new ArrayList<>(catalogue.specs().values());
		models.removeIf(ModelSpec::isAdapter);
		models.sort(Comparator.comparingLong(ModelSpec::bytes).reversed().thenComparing(ModelSpec::id));
		List<Finding> findings = new ArrayList<>();
		Set<ModelId> unplacedInWholeFleet = findUnplaced(models, fleet, null);
		unplacedInWholeFleet.forEach((id) -> findings.add(createError(service, id)));
		Map<ModelId, Set<DataCentre>> unplacedWithout = new LinkedHashMap<>();
		for (DataCentre dataCentre : dataCentres(fleet)) {
			for (ModelId id : findUnplaced(models, fleet, dataCentre)) {
				unplacedWithout.computeIfAbsent(id, (key) -> new TreeSet<>()).add(dataCentre);
			}
		}
		unplacedWithout.keySet().removeAll(unplacedInWholeFleet);
		unplacedWithout.forEach((id, dataCentres) -> findings.add(createWarning(service, id, dataCentres)));
		return List.copyOf(findings);
	}

	/**
	 * Counts the engines with the same data centre and memory.
	 * @param engines the engines
	 * @return the number of engines for each data centre and memory size
	 */
	static Map<EngineCapacity, Long> countByCapacity(List<EngineState> engines) {
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

	private static Set<ModelId> findUnplaced(List<ModelSpec> models, Map<EngineCapacity, Long> fleet,
			DataCentre lostDataCentre) {
		TreeMap<Long, Long> enginesByFreeBytes = new TreeMap<>();
		fleet.forEach((capacity, count) -> {
			if (!capacity.dataCentre().equals(lostDataCentre)) {
				enginesByFreeBytes.merge(capacity.bytes(), count, Long::sum);
			}
		});
		Set<ModelId> unplaced = new TreeSet<>();
		for (ModelSpec model : models) {
			Map.Entry<Long, Long> engine = enginesByFreeBytes.ceilingEntry(model.bytes());
			if (engine == null) {
				unplaced.add(model.id());
				continue;
			}
			enginesByFreeBytes.merge(engine.getKey(), -1L,
					(count, decrement) -> (count > 1) ? count + decrement : null);
			enginesByFreeBytes.merge(engine.getKey() - model.bytes(), 1L, Long::sum);
		}
		return unplaced;
	}

	private static Finding createError(ServiceId service, ModelId id) {
		return Finding.error("placement", 0, path(service, id), "does not fit into the fleet; add memory");
	}

	private static Finding createWarning(ServiceId service, ModelId id, Set<DataCentre> lostDataCentres) {
		String message = "does not fit if one of these data centres is lost: " + lostDataCentres
				+ "; add memory elsewhere";
		return Finding.warning("placement", 0, path(service, id), message);
	}

	private static String path(ServiceId service, ModelId id) {
		return "services." + service + ".models." + id;
	}

	/**
	 * Data centre and usable memory of an engine.
	 *
	 * @param dataCentre the data centre of the engine
	 * @param bytes the memory that the legacy serving system does not hold, in bytes
	 */
	record EngineCapacity(DataCentre dataCentre, long bytes) {

	}

}
