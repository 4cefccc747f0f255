package org.celeryhill.quota;

/**
 * Permission of the holder to a host to admit requests of an organisation. Immutable and
 * thread-safe.
 *
 * @param ceiling the units that the host may have admitted in total since its process
 * started
 * @param isLoan whether the holder relies on a usual demand instead of keeping the units
 * back
 * @param share the part of the rate that the host may use while it hears from no holder,
 * from 0 to 1
 */
public record QuotaGrant(long ceiling, boolean isLoan, double share) {

	/** Permits nothing. */
	public static final QuotaGrant NONE = new QuotaGrant(0, false, 0);

}
