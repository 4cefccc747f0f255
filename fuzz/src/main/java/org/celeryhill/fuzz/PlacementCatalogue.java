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
 * Configuration of the placement and traffic worlds: a few models, of which the first has
 * two versions.
 */
final class PlacementCatalogue {

	/** Service of the engines. */
	static final ServiceId SERVICE = ServiceId.of("beater-llm");

	/** Organisation that has the models. */
	static final OrganisationId ORGANISATION = OrganisationId.of("mill-a");

	/** Models. */
	static final int MODELS = 5;

	/** Size of a model in bytes; four engines have 100 each. */
	static final long BYTES = 30;

	private PlacementCatalogue() {
	}

	/**
	 * Returns a model.
	 * @param number the number of the model
	 * @param version the version, which only the first model has
	 * @return the model
	 */
	static ModelId model(int number, int version) {
		return ModelId.of("model-" + number + "@" + ((number == 0) ? version : 1));
	}

	/**
	 * Returns the number of a model.
	 * @param model the model
	 * @return the number
	 */
	static int number(ModelId model) {
		return Integer.parseInt(model.value().substring("model-".length(), model.value().indexOf('@')));
	}

	/**
	 * Returns the version of a model that a revision lists.
	 * @param model any version of the model
	 * @param revision the revision
	 * @return the listed version
	 */
	static ModelId successor(ModelId model, Revision revision) {
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
	 * Returns a revision.
	 * @param version the version of the first model
	 * @return the revision
	 */
	static Revision revision(int version) {
		List<ModelSpec> models = new ArrayList<>();
		for (int number = 0; number < MODELS; number++) {
			models.add(new ModelSpec(model(number, version), BYTES, Optional.empty(), 1, 3));
		}
		Map<PriorityClass, ClassTarget> classes = new EnumMap<>(PriorityClass.class);
		for (PriorityClass one : PriorityClass.values()) {
			classes.put(one,
					new ClassTarget(Duration.ofSeconds(2), Duration.ofMillis(100), Duration.ofSeconds(20), 1, 1, 0.1));
		}
		ServiceTemplate template = new ServiceTemplate(SERVICE, ServiceTemplate.Kind.MODEL_ENGINE, classes,
				new PlacementLimits(10, 10, 50), List.of());
		OrganisationParameters parameters = new OrganisationParameters(ORGANISATION, SERVICE, 1, models,
				Set.of(PriorityClass.values()), Set.of(), 100);
		return new Revision(version, List.of(template), List.of(parameters));
	}

}
