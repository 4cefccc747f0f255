package org.celeryhill.config;

import java.util.EnumSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.ServiceId;

/**
 * What an operator fills in for one organisation and one template. Immutable and
 * thread-safe.
 *
 * @param organisation the organisation, not null
 * @param service the service whose template is used, not null
 * @param weight the weight of the organisation's part of the fleet, positive
 * @param models the models and adapters, not null
 * @param classes the priority classes that callers may ask for, not null, not empty
 * @param keyHashes the SHA-256 digests of the API keys in lower-case hexadecimal, not
 * null
 * @param newSystemPercent the part of new requests that this system serves, the rest goes
 * to the legacy serving system, from 0 to 100
 */
public record OrganisationParameters(OrganisationId organisation, ServiceId service, double weight,
		List<ModelSpec> models, Set<PriorityClass> classes, Set<String> keyHashes, int newSystemPercent) {

	/**
	 * Creates parameters and copies the collections.
	 * @throws IllegalArgumentException if a figure is out of its range or no class is
	 * given
	 */
	public OrganisationParameters {
		Objects.requireNonNull(organisation, "organisation");
		Objects.requireNonNull(service, "service");
		if (!(weight > 0) || newSystemPercent < 0 || newSystemPercent > 100 || classes.isEmpty()) {
			throw new IllegalArgumentException("weight, percentage or classes out of range for " + organisation);
		}
		models = List.copyOf(models);
		classes = java.util.Collections.unmodifiableSet(EnumSet.copyOf(classes));
		keyHashes = Set.copyOf(keyHashes);
	}

}
