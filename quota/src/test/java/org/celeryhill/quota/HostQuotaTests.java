package org.celeryhill.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.celeryhill.base.OrganisationId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the quotas on one host with one holder.
 */
class HostQuotaTests {

	private static final OrganisationId ORGANISATION = OrganisationId.of("o");

	private static final long SECOND = 1_000_000_000L;

	private static final Map<OrganisationId, QuotaLimit> LIMITS = Map.of(ORGANISATION,
			new QuotaLimit(QuotaLimit.Unit.REQUESTS, 10, 10, 0));

	private final HostQuota quota = new HostQuota("h-1", QuotaBound.EXACT, QuotaListener.NONE);

	private final List<QuotaDecision> decisions = new ArrayList<>();

	private QuotaLedger ledger;

	private long now = 5 * SECOND;

	@BeforeEach
	void start() {
		this.ledger = QuotaLedger.ofHolder(1, QuotaBound.EXACT, LIMITS, 0);
		this.quota.configure(LIMITS, 0);
	}

	private void exchange() {
		QuotaReport report = this.quota.nextReport(this.now).orElseThrow();
		this.quota.handleAnswer(this.ledger.answer(report, this.now), this.now, this.now);
	}

	private QuotaGate.Ticket request() {
		return this.quota.request(ORGANISATION, -1, this.now, this.decisions::add);
	}

	private long admittedCount() {
		return this.decisions.stream().filter(QuotaDecision.Admitted.class::isInstance).count();
	}

	// Guards against a burst that one host does not get in full, and against rejections
	// without the time until units are available.
	@Test
	void admitsBurstAndTellsWhenToRetry() {
		exchange();
		for (int i = 0; i < 15; i++) {
			request();
			if (this.quota.isReportNeeded()) {
				exchange();
			}
		}
		assertThat(admittedCount()).isEqualTo(10);
		assertThat(this.decisions.get(14)).isInstanceOfSatisfying(QuotaDecision.Rejected.class, (rejected) -> {
			assertThat(rejected.reason()).isEqualTo(QuotaDecision.Reason.EXHAUSTED);
			assertThat(rejected.retryAfter().orElseThrow()).isBetween(Duration.ofMillis(50), Duration.ofSeconds(2));
		});
	}

	// Guards against a rejected or unserved request that costs its organisation units.
	@Test
	void givesRefundedUnitsBack() {
		exchange();
		for (int i = 0; i < 30; i++) {
			QuotaGate.Ticket ticket = request();
			if (this.quota.isReportNeeded()) {
				exchange();
			}
			ticket.refund(this.now);
			ticket.refund(this.now);
		}
		assertThat(admittedCount()).isEqualTo(30);
	}

	// Guards against a request that waits for units that never suffice.
	@Test
	void rejectsRequestLargerThanBurstAtOnce() {
		Map<OrganisationId, QuotaLimit> tokens = Map.of(ORGANISATION,
				new QuotaLimit(QuotaLimit.Unit.TOKENS, 10, 100, 20));
		this.quota.configure(tokens, this.now);
		this.quota.request(ORGANISATION, 101, this.now, this.decisions::add);
		assertThat(this.decisions)
			.containsExactly(new QuotaDecision.Rejected(QuotaDecision.Reason.LARGER_THAN_BURST, Optional.empty()));
	}

	// Guards against a withdrawn request that is decided or takes units, and against one
	// that waits forever for a holder that does not answer.
	@Test
	void decidesWaitingRequestsOnceUnlessCancelled() {
		exchange();
		this.ledger = QuotaLedger.ofHolder(2, QuotaBound.EXACT, LIMITS, this.now);
		this.quota.handlePause(this.now);
		exchange();
		QuotaGate.Ticket cancelled = request();
		request();
		cancelled.cancel(this.now);
		assertThat(this.decisions).isEmpty();
		this.now += HostQuota.MAX_WAIT_NANOS;
		this.quota.tick(this.now);
		assertThat(this.decisions).hasSize(1);
		this.quota.tick(this.now);
		assertThat(this.decisions).hasSize(1);
	}

	// Guards against a host that admits without limit because it has never reached a
	// holder.
	@Test
	void rejectsWithoutShareAndHolder() {
		request();
		assertThat(this.decisions).singleElement()
			.isInstanceOfSatisfying(QuotaDecision.Rejected.class,
					(rejected) -> assertThat(rejected.reason()).isEqualTo(QuotaDecision.Reason.NO_SHARE));
	}

	// Guards against organisations without a limit that depend on the holder, and against
	// reports where there is no limit to keep.
	@Test
	void ignoresOrganisationsWithoutLimit() {
		this.quota.configure(Map.of(), this.now);
		request();
		assertThat(admittedCount()).isEqualTo(1);
		assertThat(this.quota.nextReport(this.now)).isEmpty();
	}

	// Guards against units in hand that outlive a lower limit.
	@Test
	void cutsGrantWithLowerLimit() {
		exchange();
		request();
		if (this.quota.isReportNeeded()) {
			exchange();
		}
		Map<OrganisationId, QuotaLimit> lower = Map.of(ORGANISATION, new QuotaLimit(QuotaLimit.Unit.REQUESTS, 1, 1, 0));
		this.quota.configure(lower, this.now);
		this.ledger.configure(lower, this.now);
		this.decisions.clear();
		for (int i = 0; i < 10; i++) {
			request();
			if (this.quota.isReportNeeded()) {
				exchange();
			}
		}
		assertThat(admittedCount()).isLessThanOrEqualTo(1);
	}

	// Guards against a report that is answered late or twice and changes the grants.
	@Test
	void ignoresAnswersToOtherReports() {
		QuotaReport first = this.quota.nextReport(this.now).orElseThrow();
		QuotaAnswer late = this.ledger.answer(first, this.now);
		this.quota.handleFailure(first.sequence(), this.now);
		exchange();
		String before = this.quota.dump();
		this.quota.handleAnswer(late, this.now, this.now);
		assertThat(this.quota.dump()).isEqualTo(before);
		assertThat(this.ledger.answer(first, this.now).isWholeNeeded()).isTrue();
	}

	// Guards against units that a host uses alone, while nobody sees that all hosts do so
	// at many times their usual demand.
	@Test
	void loanEndsWithContact() {
		QuotaReport report = this.quota.nextReport(this.now).orElseThrow();
		QuotaGrant loan = new QuotaGrant(5, true, 0.1);
		this.quota.handleAnswer(new QuotaAnswer(this.ledger.term(), report.sequence(), false,
				List.of(new QuotaAnswer.Entry(ORGANISATION, loan, Duration.ZERO))), this.now, this.now);
		request();
		assertThat(admittedCount()).isEqualTo(1);
		this.now += QuotaTimes.CONTACT_TIMEOUT + 1;
		request();
		request();
		assertThat(admittedCount()).isEqualTo(1);
	}

}
