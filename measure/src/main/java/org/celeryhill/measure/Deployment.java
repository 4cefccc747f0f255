package org.celeryhill.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.celeryhill.base.DataCentre;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.ServiceId;
import org.celeryhill.config.ClassTarget;
import org.celeryhill.config.ModelSpec;
import org.celeryhill.config.OrganisationParameters;
import org.celeryhill.config.PlacementLimits;
import org.celeryhill.config.Revision;
import org.celeryhill.config.ServiceTemplate;

/**
 * Simulated deployments, with the numbers of the section "Current scale" of the design
 * page. Model sizes, targets and weights are assumptions of the simulation. Immutable and
 * thread-safe.
 */
enum Deployment {

	/** Three mills that share question answering and dispatch. */
	COOPERATIVE("beater-llm", 8, "dispatch", 3, 20, 64, 6, new PlacementLimits(1.5, 11, 90), 6, 19,
			List.of("mill-a", "mill-b", "mill-c")),

	/** Equipment rental with letters and bookings. */
	OFFICE("drafting-desk", 13, "booking-desk", 3, 26, 100, 7, new PlacementLimits(2, 6, 50), 7, 13,
			List.of("rentals", "festivals", "storage"));

	/** Bytes in a gigabyte. */
	static final long GIGABYTE = 1_000_000_000L;

	/** Accelerator memory for the weights of models, in bytes. */
	static final long ENGINE_MEMORY = 80 * GIGABYTE;

	/** Largest number of concurrent calls of a plain service server. */
	static final int MAX_CALLS_PER_PLAIN_SERVER = 8;

	/** Sizes of the models, assigned in rotation, in gigabytes. */
	private static final int[] MODEL_GIGABYTES = { 16, 8, 14, 6, 10, 4, 12 };

	/** Size of an adapter, in bytes. */
	private static final long ADAPTER_BYTES = GIGABYTE / 10;

	/** Number of data centres. */
	private static final int DATA_CENTRES = 3;

	/** Service of the engines. */
	final ServiceId engineService;

	/** Number of engines. */
	final int engines;

	/** Service of the plain servers. */
	final ServiceId plainService;

	/** Number of plain service servers. */
	final int plainServers;

	/** Number of models of all organisations. */
	final int models;

	/** Number of adapters of all organisations. */
	final int adapters;

	/** Number of entry hosts. */
	final int hosts;

	/** Limits of loads from the weight store. */
	final PlacementLimits weightStoreLimits;

	/** Shortest duration of an adapter load, in milliseconds. */
	final int minAdapterLoadMillis;

	/**
	 * Longest duration of an adapter load within the limit of concurrent loads, in
	 * milliseconds.
	 */
	final int maxAdapterLoadMillis;

	/** Organisations that share the deployment. */
	final List<OrganisationId> organisations;

	Deployment(String engineService, int engines, String plainService, int plainServers, int models, int adapters,
			int hosts, PlacementLimits limits, int adapterLoadMin, int adapterLoadMax, List<String> organisations) {
		this.engineService = ServiceId.of(engineService);
		this.engines = engines;
		this.plainService = ServiceId.of(plainService);
		this.plainServers = plainServers;
		this.models = models;
		this.adapters = adapters;
		this.hosts = hosts;
		this.weightStoreLimits = limits;
		this.minAdapterLoadMillis = adapterLoadMin;
		this.maxAdapterLoadMillis = adapterLoadMax;
		this.organisations = organisations.stream().map(OrganisationId::of).toList();
	}

	/**
	 * Returns the data centre of a host or server; data centres are assigned in rotation.
	 * @param position the position of the host or server, starting at 0
	 * @return the data centre
	 */
	static DataCentre dataCentre(int position) {
		return DataCentre.of("dc-" + position % DATA_CENTRES);
	}

	/**
	 * Returns the targets of the priority classes.
	 * @return the targets by class
	 */
	static Map<PriorityClass, ClassTarget> targets() {
		Map<PriorityClass, ClassTarget> targets = new EnumMap<>(PriorityClass.class);
		targets.put(PriorityClass.URGENT, target(390, 28, 2000, 10, 12, 0));
		targets.put(PriorityClass.NORMAL, target(1500, 50, 6000, 3, 4, 0.15));
		targets.put(PriorityClass.BATCH, target(20_000, 150, 60_000, 1, 1, 0.05));
		return targets;
	}

	private static ClassTarget target(long firstToken, long between, long deadline, double value, double weight,
			double floor) {
		return new ClassTarget(Duration.ofMillis(firstToken), Duration.ofMillis(between), Duration.ofMillis(deadline),
				value, weight, floor);
	}

	/**
	 * Creates the models and adapters of an organisation, models first. Model i belongs
	 * to organisation i modulo the number of organisations.
	 * @param organisation the position of the organisation, starting at 0
	 * @return the specifications of the models and adapters
	 */
	List<ModelSpec> createModelSpecs(int organisation) {
		List<ModelSpec> specs = new ArrayList<>();
		String prefix = this.organisations.get(organisation).value() + "/";
		int count = this.organisations.size();
		for (int i = organisation; i < this.models; i += count) {
			long bytes = MODEL_GIGABYTES[i % MODEL_GIGABYTES.length] * GIGABYTE;
			specs
				.add(new ModelSpec(ModelId.of(prefix + "model-" + i + "@1"), bytes, Optional.empty(), 1, this.engines));
		}
		int bases = specs.size();
		for (int i = organisation; i < this.adapters; i += count) {
			ModelId base = specs.get(i / count % bases).id();
			specs.add(new ModelSpec(ModelId.of(prefix + "adapter-" + i + "@1"), ADAPTER_BYTES, Optional.of(base), 1,
					this.engines));
		}
		return specs;
	}

	/**
	 * Returns the configuration of the deployment.
	 * @return the revision with both services and all organisations
	 */
	Revision revision() {
		List<ServiceTemplate> templates = List.of(
				new ServiceTemplate(this.engineService, ServiceTemplate.Kind.MODEL_ENGINE, targets(),
						this.weightStoreLimits, List.of()),
				new ServiceTemplate(this.plainService, ServiceTemplate.Kind.PLAIN_SERVICE, targets(),
						this.weightStoreLimits, List.of()));
		List<OrganisationParameters> parameters = new ArrayList<>();
		Set<PriorityClass> classes = EnumSet.allOf(PriorityClass.class);
		for (int i = 0; i < this.organisations.size(); i++) {
			OrganisationId id = this.organisations.get(i);
			parameters.add(
					new OrganisationParameters(id, this.engineService, 1, createModelSpecs(i), classes, Set.of(), 100));
			parameters.add(new OrganisationParameters(id, this.plainService, 1, List.of(), classes, Set.of(), 100));
		}
		return new Revision(1, templates, parameters);
	}

}
