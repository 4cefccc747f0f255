package org.celeryhill.edge;

import org.celeryhill.base.EventLog;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.quota.QuotaDecision;
import org.celeryhill.quota.QuotaListener;

/**
 * Logs what this host believes about quotas and counts its decisions. The refusal of a
 * request is logged with the request.
 */
final class QuotaLog implements QuotaListener {

	private static final EventLog LOG = EventLog.of(QuotaLog.class);

	private final EdgeMetrics metrics;

	private final Runnable onReportNeeded;

	QuotaLog(EdgeMetrics metrics, Runnable onReportNeeded) {
		this.metrics = metrics;
		this.onReportNeeded = onReportNeeded;
	}

	@Override
	public void onAdmitted(OrganisationId organisation, long units) {
		this.metrics.countQuotaUnits(organisation, units);
	}

	@Override
	public void onRejected(OrganisationId organisation, long units, QuotaDecision.Rejected rejected) {
		this.metrics.countQuotaRejection(organisation, rejected.reason().name());
	}

	@Override
	public void onScarcityChanged(OrganisationId organisation, boolean isScarce) {
		this.metrics.setQuotaScarce(organisation, isScarce);
		LOG.info("quota_scarcity", "organisation", organisation, "scarce", isScarce);
	}

	@Override
	public void onContactChanged(boolean isAlone) {
		LOG.info("quota_contact", "alone", isAlone);
	}

	@Override
	public void onNewTerm(long term) {
		LOG.info("quota_term", "term", term);
	}

	@Override
	public void onReportNeeded() {
		this.onReportNeeded.run();
	}

}
