package org.celeryhill.quota;

import java.util.ArrayDeque;
import java.util.Deque;

import org.celeryhill.base.OrganisationId;

/**
 * What this host may admit of one organisation, and the requests that wait for it. Only
 * used by {@link HostQuota}. Not thread-safe.
 */
final class LocalAccount {

	final OrganisationId organisation;

	final Deque<PendingRequest> waiting = new ArrayDeque<>();

	private final QuotaBound bound;

	QuotaLimit limit;

	QuotaGrant grant = QuotaGrant.NONE;

	long requested;

	long admitted;

	long largest;

	/** Time before which the holder does not have to be asked for more units. */
	long askAgainNanos;

	/** Time at which the holder expects units for a further request. */
	long expectedNanos;

	private long reportedRequested;

	private long reportedAdmitted;

	private boolean isReported;

	private double shareUnits;

	private long shareNanos;

	private long shareEndNanos;

	LocalAccount(OrganisationId organisation, QuotaBound bound, QuotaLimit limit, long now) {
		this.organisation = organisation;
		this.bound = bound;
		this.limit = limit;
		this.askAgainNanos = now;
		this.expectedNanos = now;
		this.shareNanos = now;
		this.shareEndNanos = now;
	}

	// Replaces the limit. Units in hand are cut in proportion to a lower limit.
	void configure(QuotaLimit newLimit) {
		double ratio = newLimit.ratePerSecond() / this.limit.ratePerSecond();
		this.limit = newLimit;
		if (ratio < 1) {
			long inHand = (long) (Math.max(0, this.grant.ceiling() - this.admitted) * ratio);
			this.grant = new QuotaGrant(this.admitted + inHand, this.grant.isLoan(), this.grant.share());
			this.isReported = false;
		}
	}

	long cost(long tokens) {
		return this.limit.unit().cost((tokens < 0) ? this.limit.defaultTokens() : tokens);
	}

	// Returns the time from the last answered report during which the units in hand may
	// be used.
	long grantLifetime() {
		return this.grant.isLoan() ? QuotaTimes.LOAN_LIFETIME : QuotaTimes.GRANT_LIFETIME;
	}

	// Admits a request if the units in hand suffice.
	boolean admitGranted(long units) {
		if (this.grant.ceiling() - this.admitted < units) {
			return false;
		}
		this.admitted += units;
		if (this.grant.isLoan()) {
			// The holder does not keep lent units back besides the share.
			this.shareUnits -= units;
		}
		return true;
	}

	// Admits a request if the share of this host in the rate suffices.
	boolean admitShare(long units, long now) {
		long end = (now - this.shareEndNanos < 0) ? now : this.shareEndNanos;
		if (end - this.shareNanos > 0) {
			double grown = this.shareUnits
					+ QuotaTimes.seconds(end - this.shareNanos) * this.grant.share() * this.limit.ratePerSecond();
			this.shareUnits = Math.min(grown, this.grant.share() * this.bound.capacity(this.limit));
			this.shareNanos = end;
		}
		if (now - this.shareEndNanos >= 0 || this.shareUnits < units) {
			return false;
		}
		this.shareUnits -= units;
		this.admitted += units;
		return true;
	}

	// Returns the time until the share suffices for a request; negative if it will not.
	long nanosUntilShare(long units, long now) {
		double rate = this.grant.share() * this.limit.ratePerSecond();
		double seconds = (rate > 0) ? (units - this.shareUnits) / rate : Double.POSITIVE_INFINITY;
		boolean isInTime = seconds < QuotaTimes.seconds(this.shareEndNanos - now);
		return isInTime ? QuotaTimes.nanos(seconds) : -1;
	}

	// Begins a new period without an answer. The share may be used until some time after
	// the last answer of a holder, not of a deputy.
	void restartShare(long sentNanos, long holderSentNanos) {
		this.shareUnits = 0;
		this.shareNanos = sentNanos;
		this.shareEndNanos = holderSentNanos + QuotaTimes.SHARE_LIFETIME;
	}

	// Voids the units in hand, and the share as well if it has ended or may have.
	void voidGrant(boolean isShareVoid) {
		double share = isShareVoid ? 0 : this.grant.share();
		this.grant = new QuotaGrant(this.admitted, false, share);
		this.isReported = false;
	}

	boolean isShareOver(long now) {
		return now - this.shareEndNanos >= 0;
	}

	void refund(long units) {
		this.requested -= units;
		this.admitted -= units;
	}

	long waitingUnits() {
		return this.waiting.stream().mapToLong(PendingRequest::units).sum();
	}

	boolean isChanged() {
		boolean isUsed = this.requested != this.reportedRequested || this.admitted != this.reportedAdmitted;
		return !this.isReported || isUsed || !this.waiting.isEmpty();
	}

	// Returns the state for a report.
	QuotaReport.Entry report() {
		long first = this.waiting.isEmpty() ? 0 : this.waiting.peekFirst().units();
		this.reportedRequested = this.requested;
		this.reportedAdmitted = this.admitted;
		this.isReported = true;
		return new QuotaReport.Entry(this.organisation, this.requested, this.admitted, this.grant, this.largest,
				waitingUnits(), first);
	}

}
