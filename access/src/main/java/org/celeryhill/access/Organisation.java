package org.celeryhill.access;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;

import org.celeryhill.base.OrganisationId;
import org.celeryhill.quota.QuotaLimit;

/**
 * An organisation whose callers identify themselves by API keys. Immutable and
 * thread-safe.
 *
 * @param id the organisation, not null
 * @param priority the priority of its requests, which goes before that of the route; 0 is
 * the highest; not null
 * @param quota the limit on its requests over all hosts, not null; empty for no limit
 */
public record Organisation(OrganisationId id, OptionalInt priority, Optional<QuotaLimit> quota) {

	/** Creates an organisation. */
	public Organisation {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(priority, "priority");
		Objects.requireNonNull(quota, "quota");
	}

}
