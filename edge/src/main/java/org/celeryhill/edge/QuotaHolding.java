package org.celeryhill.edge;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.celeryhill.base.EventLog;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.quota.QuotaAnswer;
import org.celeryhill.quota.QuotaBound;
import org.celeryhill.quota.QuotaLedger;
import org.celeryhill.quota.QuotaLimit;
import org.celeryhill.quota.QuotaReport;

/**
 * Decides whether this host keeps the quotas for others: as the holder of the placement
 * lease, for a while after the lease has ended while most hosts still report to it and no
 * other holder is known, or as the deputy of a lost holder. Must be used on the event
 * loop.
 */
final class QuotaHolding {

	private static final EventLog LOG = EventLog.of(QuotaHolding.class);

	/**
	 * Time for which quotas are kept after the lease has ended, while the store is
	 * unavailable to all hosts.
	 */
	private static final long MAX_EXTENSION_NANOS = TimeUnit.SECONDS.toNanos(20);

	/** Time without a report after which a deputy ends. */
	private static final long DEPUTY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(7);

	private final QuotaBound bound;

	private final Leadership leadership;

	private Map<OrganisationId, QuotaLimit> limits = Map.of();

	private Optional<QuotaLedger> ledger = Optional.empty();

	private long confirmedNanos;

	private long reportedNanos;

	private boolean isSuspended;

	QuotaHolding(QuotaBound bound, Leadership leadership) {
		this.bound = bound;
		this.leadership = leadership;
	}

	void configure(Map<OrganisationId, QuotaLimit> newLimits, long now) {
		this.limits = Map.copyOf(newLimits);
		this.ledger.ifPresent((one) -> one.configure(this.limits, now));
	}

	// Begins or ends to keep the quotas as the lease requires.
	void update(long now) {
		OptionalLong token = this.leadership.usableToken();
		if (token.isPresent()) {
			hold(token.getAsLong(), now);
			return;
		}
		long idleSince = this.ledger.filter(QuotaLedger::isDeputy).isPresent() ? this.reportedNanos
				: this.confirmedNanos;
		long maxIdle = this.ledger.filter(QuotaLedger::isDeputy).isPresent() ? DEPUTY_TIMEOUT_NANOS
				: MAX_EXTENSION_NANOS;
		if (this.ledger.isPresent() && now - idleSince > maxIdle) {
			end("timeout");
		}
	}

	private void hold(long token, long now) {
		boolean isKept = this.ledger.filter((one) -> one.isOfHolder(token)).isPresent();
		if (!isKept) {
			this.ledger = Optional.of(QuotaLedger.ofHolder(token, this.bound, this.limits, now));
			LOG.info("quota_holding", "role", "holder", "term", this.ledger.get().term());
		}
		this.confirmedNanos = now;
		this.isSuspended = false;
	}

	// Stops answering after this process may have been paused: a deputy for good, a
	// holder until its lease is renewed.
	void handlePause() {
		if (this.ledger.filter(QuotaLedger::isDeputy).isPresent()) {
			end("pause");
		}
		this.isSuspended = true;
	}

	// Ends keeping the quotas if there is a later holder.
	void recordTerm(long term) {
		if (this.ledger.filter((one) -> one.isOlderThan(term)).isPresent()) {
			end("newer_holder");
		}
	}

	private void end(String reason) {
		LOG.info("quota_holding_ended", "term", this.ledger.map(QuotaLedger::term).orElse(0L), "reason", reason);
		this.ledger = Optional.empty();
	}

	// Returns whether this host answers reports as the holder.
	boolean isHolder(long now) {
		update(now);
		return this.ledger.filter((one) -> !one.isDeputy() && !this.isSuspended)
			.filter((one) -> now == this.confirmedNanos || one.isHeardByMost(now))
			.isPresent();
	}

	// Answers a report, empty if this host does not keep the quotas for the sender.
	Optional<QuotaAnswer> answer(QuotaReport report, boolean isDeputyAsked, long now) {
		if (!isHolder(now) && !prepareDeputy(report, isDeputyAsked, now)) {
			return Optional.empty();
		}
		recordTerm(report.term());
		this.reportedNanos = now;
		return this.ledger.map((one) -> one.answer(report, now));
	}

	private boolean prepareDeputy(QuotaReport report, boolean isDeputyAsked, long now) {
		if (!isDeputyAsked || report.term() == 0) {
			return false;
		}
		boolean isKept = this.ledger.filter((one) -> one.isDeputy() && !one.isOlderThan(report.term())).isPresent();
		if (!isKept) {
			this.ledger = Optional.of(QuotaLedger.ofDeputy(report.term(), this.bound, this.limits, now));
			LOG.info("quota_holding", "role", "deputy", "term", this.ledger.get().term());
		}
		return true;
	}

	String dump() {
		return this.ledger.map(QuotaLedger::dump).orElse("");
	}

}
