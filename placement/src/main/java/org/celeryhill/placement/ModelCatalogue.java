package org.celeryhill.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import org.celeryhill.base.ModelId;
import org.celeryhill.base.ServiceId;
import org.celeryhill.config.ModelSpec;
import org.celeryhill.config.OrganisationParameters;
import org.celeryhill.config.Revision;

/**
 * Models and adapters that a revision lists for one service. A model that several
 * organisations list gets the largest of their sizes and replica bounds. Immutable.
 */
final class ModelCatalogue {

	/** Specification by model, in the order of the revision. */
	private final Map<ModelId, ModelSpec> specs;

	/** Listed model by family; the last listed one if there are several. */
	private final Map<String, ModelId> listedByFamily;

	private ModelCatalogue(Map<ModelId, ModelSpec> specs) {
		this.specs = specs;
		this.listedByFamily = new HashMap<>();
		specs.keySet().forEach((id) -> this.listedByFamily.put(ModelView.familyOf(id), id));
	}

	/**
	 * Creates the catalogue of a service.
	 * @param revision the revision that lists the models
	 * @param service the service whose models are listed
	 * @return the catalogue
	 */
	static ModelCatalogue of(Revision revision, ServiceId service) {
		Map<ModelId, ModelSpec> specs = new LinkedHashMap<>();
		for (OrganisationParameters parameters : revision.organisations()) {
			if (parameters.service().equals(service)) {
				parameters.models().forEach((spec) -> specs.merge(spec.id(), spec, ModelCatalogue::merge));
			}
		}
		return new ModelCatalogue(specs);
	}

	private static ModelSpec merge(ModelSpec one, ModelSpec other) {
		int min = Math.max(one.minReplicas(), other.minReplicas());
		int max = Math.max(one.maxReplicas(), other.maxReplicas());
		return new ModelSpec(one.id(), Math.max(one.bytes(), other.bytes()), one.base(), min, max);
	}

	/**
	 * Returns the specification of each listed model.
	 * @return the specifications by model, in the order of the revision
	 */
	Map<ModelId, ModelSpec> specs() {
		return this.specs;
	}

	/**
	 * Returns the listed model of a family.
	 * @param family the identifier without its version
	 * @return the model, or null if none is listed
	 */
	ModelId findListedInFamily(String family) {
		return this.listedByFamily.get(family);
	}

}
