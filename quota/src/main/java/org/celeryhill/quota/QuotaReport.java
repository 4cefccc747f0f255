package org.celeryhill.quota;

import java.util.List;
import java.util.Objects;

import org.celeryhill.base.OrganisationId;

/**
 * Report of a host to the holder of the quotas. Immutable and thread-safe.
 *
 * @param host identifies the process of the host, not null
 * @param term the newest term of a holder that the host knows, 0 if none
 * @param sequence the number of this report, larger than those of earlier reports
 * @param isWhole whether all organisations are contained, instead of those that changed
 * since the last answer
 * @param entries the organisations, not null
 */
public record QuotaReport(String host, long term, long sequence, boolean isWhole, List<Entry> entries) {

	/** Creates a report. */
	public QuotaReport {
		Objects.requireNonNull(host, "host");
		entries = List.copyOf(entries);
	}

	/**
	 * State of one organisation on the host.
	 *
	 * @param organisation the organisation, not null
	 * @param requested the units requested since the process started, admitted or not,
	 * less refunds
	 * @param admitted the units admitted since the process started, less refunds
	 * @param grant the grant in force, not null
	 * @param largest the units of the largest request since the process started
	 * @param need the units of the requests that wait for the answer
	 * @param first the units of the request that has waited longest
	 */
	public record Entry(OrganisationId organisation, long requested, long admitted, QuotaGrant grant, long largest,
			long need, long first) {

		/** Creates an entry. */
		public Entry {
			Objects.requireNonNull(organisation, "organisation");
			Objects.requireNonNull(grant, "grant");
		}

	}

}
