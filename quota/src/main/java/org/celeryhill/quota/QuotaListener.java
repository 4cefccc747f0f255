package org.celeryhill.quota;

import org.celeryhill.base.OrganisationId;

/**
 * Receives the decisions of a host and what it believes about the quotas.
 */
public interface QuotaListener {

	/** A listener that ignores everything. */
	QuotaListener NONE = new QuotaListener() {
	};

	/**
	 * Called when a request is admitted.
	 * @param organisation the organisation, not null
	 * @param units the units of the request
	 */
	default void onAdmitted(OrganisationId organisation, long units) {
	}

	/**
	 * Called when a request is rejected.
	 * @param organisation the organisation, not null
	 * @param units the units of the request
	 * @param rejected the decision, not null
	 */
	default void onRejected(OrganisationId organisation, long units, QuotaDecision.Rejected rejected) {
	}

	/**
	 * Called when the holder begins or ceases to keep back the units that it grants.
	 * @param organisation the organisation, not null
	 * @param isScarce whether units are kept back
	 */
	default void onScarcityChanged(OrganisationId organisation, boolean isScarce) {
	}

	/**
	 * Called when this host begins or ceases to decide without the holder.
	 * @param isAlone whether this host decides without the holder
	 */
	default void onContactChanged(boolean isAlone) {
	}

	/**
	 * Called when this host follows another holder.
	 * @param term the term of the holder
	 */
	default void onNewTerm(long term) {
	}

	/**
	 * Called when a request waits for the holder and no report is on its way.
	 */
	default void onReportNeeded() {
	}

}
