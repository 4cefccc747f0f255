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
 * organisations list gets the largest size and replica bounds. Immutable.
 */
final class Catalogue {

	/** Specification by model, in the order of the revision. */
	private final Map<ModelId, ModelSpec> specs;

	/** Listed model by family; the last one listed where there are several. */
	private final Map<String, ModelId> byFamily;

	private Catalogue(Map<ModelId, ModelSpec> specs) {
		this.specs = specs;
		this.byFamily = new HashMap<>();
		specs.keySet().forEach((id) -> this.byFamily.put(ModelView.familyOf(id), id));
	}

	/**
	 * Returns the models of a service.
	 * @param revision the revision
	 * @param service the service
	 * @return the models
	 */
	static Catalogue of(Revision revision, ServiceId service) {
		Map<ModelId, ModelSpec> specs = new LinkedHashMap<>();
		for (OrganisationParameters parameters : revision.organisations()) {
			if (parameters.service().equals(service)) {
				parameters.models().forEach((spec) -> specs.merge(spec.id(), spec, Catalogue::merge));
			}
		}
		return new Catalogue(specs);
	}

	private static ModelSpec merge(ModelSpec one, ModelSpec other) {
		int min = Math.max(one.minReplicas(), other.minReplicas());
		int max = Math.max(one.maxReplicas(), other.maxReplicas());
		return new ModelSpec(one.id(), Math.max(one.bytes(), other.bytes()), one.base(), min, max);
	}

	/**
	 * Returns the specifications by model.
	 * @return the specifications by model
	 */
	Map<ModelId, ModelSpec> specs() {
		return this.specs;
	}

	/**
	 * Returns the listed model of a family, or null.
	 * @param family the identifier without its version
	 * @return the listed model of a family, or null
	 */
	ModelId listedOfFamily(String family) {
		return this.byFamily.get(family);
	}

}
