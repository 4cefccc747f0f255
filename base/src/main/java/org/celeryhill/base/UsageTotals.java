package org.celeryhill.base;

import java.util.Map;
import java.util.Objects;

/**
 * Work that one entry daemon has admitted since it started. The totals are cumulative, so
 * that a lost or repeated message does not distort them. Immutable and thread-safe.
 *
 * @param host the entry host, not null
 * @param dataCentre its data centre, not null
 * @param incarnation identifier that changes each time the daemon starts, not null
 * @param sequence number that grows with each publication of one incarnation
 * @param tokens the estimated tokens admitted, by organisation and class, not null
 */
public record UsageTotals(HostId host, DataCentre dataCentre, String incarnation, long sequence,
		Map<Key, Long> tokens) {

	/** Creates totals and copies the map. */
	public UsageTotals {
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(dataCentre, "dataCentre");
		Objects.requireNonNull(incarnation, "incarnation");
		tokens = Map.copyOf(tokens);
	}

	/**
	 * Key of a total.
	 *
	 * @param organisation the organisation, not null
	 * @param priority the priority class, not null
	 */
	public record Key(OrganisationId organisation, PriorityClass priority) {

		/** Creates a key. */
		public Key {
			Objects.requireNonNull(organisation, "organisation");
			Objects.requireNonNull(priority, "priority");
		}

	}

}
