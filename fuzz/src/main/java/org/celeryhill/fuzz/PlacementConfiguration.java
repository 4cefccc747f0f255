package org.celeryhill.fuzz;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

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
 * Creates the configuration of the placement simulation: a few models, the first of which
 * has two versions.
 */
final class PlacementConfiguration {

	/** Service of the engines. */
	static final ServiceId SERVICE = ServiceId.of("beater-llm");

	/** Organisation that owns the models. */
	static final OrganisationId ORGANISATION = OrganisationId.of("mill-a");

	/** Number of models. */
	static final int MODEL_COUNT = 5;

	/** Size of a model in bytes; each of the four engines has 100 bytes. */
	static final long MODEL_BYTES = 30;

	private PlacementConfiguration() {
	}

	/**
	 * Returns the id of a model.
	 * @param number the index of the model, from 0
	 * @param version the version of the first model; all others have version 1
	 * @return the id
	 */
	static ModelId model(int number, int version) {
		return ModelId.of("model-" + number + "@" + ((number == 0) ? version : 1));
	}

	/**
	 * Returns the index of a model.
	 * @param model the id of any version of the model
	 * @return the index, from 0
	 */
	static int number(ModelId model) {
		return Integer.parseInt(model.value().substring("model-".length(), model.value().indexOf('@')));
	}

	/**
	 * Returns the version of a model that a revision lists.
	 * @param model the id of any version of the model
	 * @param revision the configuration revision
	 * @return the id of the listed version, or the given id if none is listed
	 */
	static ModelId findListedVersion(ModelId model, Revision revision) {
		String name = model.value().substring(0, model.value().indexOf('@') + 1);
		return revision.organisations()
			.get(0)
			.models()
			.stream()
			.map(ModelSpec::id)
			.filter((id) -> id.value().startsWith(name))
			.findFirst()
			.orElse(model);
	}

	/**
	 * Creates a configuration revision with the given number.
	 * @param version the version of the first model, also the number of the revision
	 * @return the revision
	 */
	static Revision createRevision(int version) {
		List<ModelSpec> models = new ArrayList<>();
		for (int number = 0; number < MODEL_COUNT; number++) {
			models.add(new ModelSpec(model(number, version), MODEL_BYTES, Optional.empty(), 1, 3));
		}
		Map<PriorityClass, ClassTarget> classes = new EnumMap<>(PriorityClass.class);
		for (PriorityClass priority : PriorityClass.values()) {
			classes.put(priority,
					new ClassTarget(Duration.ofSeconds(2), Duration.ofMillis(100), Duration.ofSeconds(20), 1, 1, 0.1));
		}
		ServiceTemplate template = new ServiceTemplate(SERVICE, ServiceTemplate.Kind.MODEL_ENGINE, classes,
				new PlacementLimits(10, 10, 50), List.of());
		OrganisationParameters parameters = new OrganisationParameters(ORGANISATION, SERVICE, 1, models,
				Set.of(PriorityClass.values()), Set.of(), 100);
		return new Revision(version, List.of(template), List.of(parameters));
	}

}
