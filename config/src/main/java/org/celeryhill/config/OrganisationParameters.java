package org.celeryhill.config;

import java.util.EnumSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.ServiceId;

/**
 * Parameters that an operator sets for one organisation and one service template.
 * Immutable and thread-safe.
 *
 * @param organisation the organisation, not null
 * @param service the service whose template applies, not null
 * @param weight the weight of the organisation's share of the fleet, positive
 * @param models the models and adapters, not null
 * @param classes the priority classes that callers may request, not null, not empty
 * @param keyHashes the SHA-256 digests of the API keys in lower-case hexadecimal, not
 * null
 * @param newSystemPercent the percentage of new requests that this system serves, while
 * the legacy serving system serves the rest, from 0 to 100
 */
public record OrganisationParameters(OrganisationId organisation, ServiceId service, double weight,
		List<ModelSpec> models, Set<PriorityClass> classes, Set<String> keyHashes, int newSystemPercent) {

	/**
	 * Creates parameters and copies the collections.
	 * @throws IllegalArgumentException if a number is out of its range or no class is
	 * given
	 */
	public OrganisationParameters {
		Objects.requireNonNull(organisation, "organisation");
		Objects.requireNonNull(service, "service");
		if (!(weight > 0) || newSystemPercent < 0 || newSystemPercent > 100 || classes.isEmpty()) {
			throw new IllegalArgumentException(
					"weight must be positive, newSystemPercent from 0 to 100 and classes not empty for "
							+ organisation);
		}
		models = List.copyOf(models);
		classes = java.util.Collections.unmodifiableSet(EnumSet.copyOf(classes));
		keyHashes = Set.copyOf(keyHashes);
	}

}
