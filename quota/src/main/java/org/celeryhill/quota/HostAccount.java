package org.celeryhill.quota;

/**
 * What the holder knows about one organisation on one host. Only used by
 * {@link OrganisationPool}. Not thread-safe.
 */
final class HostAccount {

	/** Time constant of the average of the demand. */
	private static final double DEMAND_SECONDS = 2;

	/** Whether the host has reported the organisation. */
	boolean isKnown;

	/** Units that were requested of the host in total, as it reported last. */
	long requested;

	/** Units that the host has admitted in total, as it reported last. */
	long admitted;

	/** The grant that was sent last. */
	QuotaGrant grant = QuotaGrant.NONE;

	/** Units that are kept back because the host may admit them. */
	double reserved;

	/** Units that are taken from the pool because the silent host may have used them. */
	double assumed;

	/** Average of the admitted units per second. */
	double demand;

	/** Average of the requested units per second, whether they were admitted or not. */
	double requestedDemand;

	private long demandNanos;

	HostAccount(long now) {
		this.demandNanos = now;
	}

	double unused() {
		return Math.max(0, this.grant.ceiling() - this.admitted);
	}

	// Adds requested and admitted units to the averages of the demand, which decay
	// otherwise.
	void recordDemand(double requestedUnits, double admittedUnits, long now) {
		double elapsed = QuotaTimes.seconds(now - this.demandNanos);
		this.demandNanos = now;
		double kept = Math.exp(-elapsed / DEMAND_SECONDS);
		this.demand = Math.max(0, this.demand * kept + admittedUnits / DEMAND_SECONDS);
		this.requestedDemand = Math.max(0, this.requestedDemand * kept + requestedUnits / DEMAND_SECONDS);
	}

}
