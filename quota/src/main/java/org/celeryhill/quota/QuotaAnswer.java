package org.celeryhill.quota;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

import org.celeryhill.base.OrganisationId;

/**
 * Answer of the holder of the quotas to a report. It also renews the grants of the
 * organisations that it does not contain. Immutable and thread-safe.
 *
 * @param term the term of the holder
 * @param sequence the number of the report
 * @param isWholeNeeded whether the report was not used, because the holder needs a whole
 * one
 * @param entries the organisations whose grants change or whose requests wait, not null
 */
public record QuotaAnswer(long term, long sequence, boolean isWholeNeeded, List<Entry> entries) {

	/** Creates an answer. */
	public QuotaAnswer {
		entries = List.copyOf(entries);
	}

	/**
	 * Answer for one organisation.
	 *
	 * @param organisation the organisation, not null
	 * @param grant the new grant, not null
	 * @param retryAfter the time until units will be available for the requests that the
	 * grant does not cover, not null
	 */
	public record Entry(OrganisationId organisation, QuotaGrant grant, Duration retryAfter) {

		/** Creates an entry. */
		public Entry {
			Objects.requireNonNull(organisation, "organisation");
			Objects.requireNonNull(grant, "grant");
			Objects.requireNonNull(retryAfter, "retryAfter");
		}

	}

}
