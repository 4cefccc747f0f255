package org.celeryhill.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.celeryhill.base.OrganisationId;

/**
 * Quotas on this host. Admits requests with units that the holder has granted, asks the
 * holder if they do not suffice, and uses the share of this host while the holder does
 * not answer. At most one report is on its way. Must be used on the event loop.
 */
public final class HostQuota implements QuotaGate {

	/** Longest time for which a request waits for the holder. */
	static final long MAX_WAIT_NANOS = QuotaTimes.nanos(0.1);

	/** Longest time for which the holder is not asked again after it had no units. */
	private static final long MAX_PAUSE_NANOS = QuotaTimes.nanos(0.3);

	/** Time for which a host expects to reach the same holder after a pause. */
	private static final long PAUSE_CONTACT_NANOS = QuotaTimes.nanos(0.4);

	/**
	 * Shortest time to come back, so that callers do not repeat their requests at once.
	 */
	private static final Duration MIN_RETRY = Duration.ofMillis(100);

	/** Time after which a host without a share has probably found a holder. */
	private static final Duration NO_SHARE_RETRY = Duration.ofSeconds(2);

	private final Map<OrganisationId, LocalAccount> accounts = new HashMap<>();

	private final String host;

	private final QuotaBound bound;

	private final QuotaListener listener;

	private long term;

	private long sequence;

	private boolean isReportPending;

	private boolean isWholeNeeded = true;

	private boolean hasContact;

	private boolean isAlone = true;

	private long contactNanos;

	private long holderContactNanos;

	/**
	 * Creates the quotas of a host.
	 * @param host identifies the process, different after each start, not null
	 * @param bound the tolerance, not null
	 * @param listener receives decisions, not null
	 */
	public HostQuota(String host, QuotaBound bound, QuotaListener listener) {
		this.host = Objects.requireNonNull(host, "host");
		this.bound = Objects.requireNonNull(bound, "bound");
		this.listener = Objects.requireNonNull(listener, "listener");
	}

	@Override
	public void configure(Map<OrganisationId, QuotaLimit> limits, long now) {
		limits.forEach((organisation, limit) -> this.accounts
			.computeIfAbsent(organisation, (key) -> new LocalAccount(organisation, this.bound, limit, now))
			.configure(limit));
		for (LocalAccount account : List.copyOf(this.accounts.values())) {
			if (!limits.containsKey(account.organisation)) {
				this.accounts.remove(account.organisation);
				admitAll(account);
			}
		}
	}

	private static void admitAll(LocalAccount account) {
		while (!account.waiting.isEmpty()) {
			account.waiting.pollFirst().listener().accept(new QuotaDecision.Admitted());
		}
	}

	/**
	 * Returns whether there is any limit to keep.
	 * @return whether an organisation has a limit
	 */
	public boolean isActive() {
		return !this.accounts.isEmpty();
	}

	/**
	 * Returns the newest term of a holder that this host knows.
	 * @return the term, 0 if none is known
	 */
	public long term() {
		return this.term;
	}

	@Override
	public Ticket request(OrganisationId organisation, long tokens, long now, Consumer<QuotaDecision> decided) {
		LocalAccount account = this.accounts.get(organisation);
		if (account == null) {
			decided.accept(new QuotaDecision.Admitted());
			return Ticket.NONE;
		}
		long units = account.cost(tokens);
		UnitTicket ticket = new UnitTicket(account, units);
		if (units > account.limit.burst()) {
			reject(account, units, decided, QuotaDecision.Reason.LARGER_THAN_BURST, Optional.empty());
			return ticket;
		}
		account.requested += units;
		account.largest = Math.max(account.largest, units);
		expire(account, now);
		PendingRequest request = new PendingRequest(units, now, decided, ticket);
		if (account.waiting.isEmpty() && admit(account, request, now)) {
			return ticket;
		}
		if (isAlone(now) || now - account.askAgainNanos < 0) {
			rejectForNow(account, request, now);
			return ticket;
		}
		account.waiting.addLast(request);
		if (!this.isReportPending) {
			this.listener.onReportNeeded();
		}
		return ticket;
	}

	// Voids what the account may no longer use.
	private void expire(LocalAccount account, long now) {
		boolean isShareOver = !this.hasContact || account.isShareOver(now);
		boolean isGrantOver = !this.hasContact || now - this.contactNanos >= account.grantLifetime();
		boolean hasShareLeft = isShareOver && account.grant.share() > 0;
		if (hasShareLeft || (isGrantOver && account.grant.ceiling() > account.admitted)) {
			account.voidGrant(isShareOver);
		}
	}

	private boolean admit(LocalAccount account, PendingRequest request, long now) {
		boolean isAdmitted = account.admitGranted(request.units())
				|| (isAlone(now) && account.admitShare(request.units(), now));
		if (isAdmitted) {
			request.ticket().isHeld = true;
			this.listener.onAdmitted(account.organisation, request.units());
			request.listener().accept(new QuotaDecision.Admitted());
		}
		return isAdmitted;
	}

	private boolean isAlone(long now) {
		boolean isTooOld = !this.hasContact || now - this.contactNanos > QuotaTimes.CONTACT_TIMEOUT;
		if (isTooOld && !this.isAlone) {
			this.isAlone = true;
			this.listener.onContactChanged(true);
		}
		return this.isAlone;
	}

	/**
	 * Returns whether the holder has not answered for so long that its deputy should be
	 * asked.
	 * @param now the current time in monotonic nanoseconds
	 * @return whether the holder is lost
	 */
	public boolean isHolderLost(long now) {
		return !this.hasContact || now - this.holderContactNanos > QuotaTimes.CONTACT_TIMEOUT;
	}

	private void rejectForNow(LocalAccount account, PendingRequest request, long now) {
		if (!isAlone(now)) {
			rejectUntil(account, request, Duration.ofNanos(account.expectedNanos - now));
			return;
		}
		long wait = account.nanosUntilShare(request.units(), now);
		if (wait > 0) {
			rejectUntil(account, request, Duration.ofNanos(wait));
			return;
		}
		reject(account, request.units(), request.listener(), QuotaDecision.Reason.NO_SHARE,
				Optional.of(NO_SHARE_RETRY));
	}

	private void rejectUntil(LocalAccount account, PendingRequest request, Duration wait) {
		Duration retryAfter = (wait.compareTo(MIN_RETRY) > 0) ? wait : MIN_RETRY;
		reject(account, request.units(), request.listener(), QuotaDecision.Reason.EXHAUSTED, Optional.of(retryAfter));
	}

	private void reject(LocalAccount account, long units, Consumer<QuotaDecision> decided, QuotaDecision.Reason reason,
			Optional<Duration> retryAfter) {
		QuotaDecision.Rejected rejected = new QuotaDecision.Rejected(reason, retryAfter);
		this.listener.onRejected(account.organisation, units, rejected);
		decided.accept(rejected);
	}

	/**
	 * Returns whether the next report has to contain all organisations, because the last
	 * one was not answered or did not say enough.
	 * @return whether it has to
	 */
	public boolean isWholeReportNeeded() {
		return this.isWholeNeeded;
	}

	/**
	 * Returns whether a request waits for the holder and no report is on its way.
	 * @return whether a report should be sent now
	 */
	public boolean isReportNeeded() {
		return !this.isReportPending
				&& this.accounts.values().stream().anyMatch((account) -> !account.waiting.isEmpty());
	}

	/**
	 * Creates the next report, which must be sent at once. Its outcome must be reported
	 * with {@link #handleAnswer} or {@link #handleFailure}.
	 * @param now the current time in monotonic nanoseconds
	 * @return the report, empty if there are no limits or if a report is on its way
	 */
	public Optional<QuotaReport> nextReport(long now) {
		if (this.isReportPending || !isActive()) {
			return Optional.empty();
		}
		this.isReportPending = true;
		this.sequence++;
		boolean isWhole = this.isWholeNeeded;
		List<QuotaReport.Entry> entries = new ArrayList<>();
		for (LocalAccount account : this.accounts.values()) {
			expire(account, now);
			if (isWhole || account.isChanged()) {
				entries.add(account.report());
			}
		}
		return Optional.of(new QuotaReport(this.host, this.term, this.sequence, isWhole, entries));
	}

	/**
	 * Processes the answer to the last report. Its grants are valid from the time at
	 * which the report was sent.
	 * @param answer the answer, not null
	 * @param sentNanos the monotonic time at which the report was sent, in nanoseconds
	 * @param now the current time in monotonic nanoseconds
	 */
	public void handleAnswer(QuotaAnswer answer, long sentNanos, long now) {
		if (answer.sequence() != this.sequence || !this.isReportPending) {
			return;
		}
		if (QuotaTerm.isOlder(answer.term(), this.term)) {
			handleFailure(answer.sequence(), now);
			return;
		}
		if (answer.term() != this.term) {
			this.term = answer.term();
			this.listener.onNewTerm(this.term);
		}
		this.isReportPending = false;
		this.isWholeNeeded = answer.isWholeNeeded();
		if (answer.isWholeNeeded()) {
			decideWaiting(now);
			return;
		}
		recordContact(sentNanos);
		answer.entries().forEach((entry) -> applyEntry(entry, now));
		this.accounts.values().forEach((account) -> {
			account.restartShare(sentNanos, this.holderContactNanos);
			expire(account, now);
			admitWaiting(account, now);
		});
	}

	private void recordContact(long sentNanos) {
		this.contactNanos = sentNanos;
		if (!QuotaTerm.isDeputy(this.term)) {
			this.holderContactNanos = sentNanos;
		}
		this.hasContact = true;
		if (this.isAlone) {
			this.isAlone = false;
			this.listener.onContactChanged(false);
		}
	}

	private void applyEntry(QuotaAnswer.Entry entry, long now) {
		LocalAccount account = this.accounts.get(entry.organisation());
		if (account == null) {
			return;
		}
		if (account.grant.isLoan() != entry.grant().isLoan()) {
			this.listener.onScarcityChanged(entry.organisation(), !entry.grant().isLoan());
		}
		account.grant = entry.grant();
		long wait = entry.retryAfter().toNanos();
		account.expectedNanos = now + wait;
		account.askAgainNanos = now + Math.min(wait, MAX_PAUSE_NANOS);
	}

	// Decides on the requests that waited for the answer. Requests that arrived after the
	// report was sent wait for the next one, unless units are scarce.
	private void admitWaiting(LocalAccount account, long now) {
		while (!account.waiting.isEmpty() && admit(account, account.waiting.peekFirst(), now)) {
			account.waiting.pollFirst();
		}
		boolean isRefused = now - account.askAgainNanos < 0;
		while (isRefused && !account.waiting.isEmpty()) {
			rejectForNow(account, account.waiting.pollFirst(), now);
		}
	}

	/**
	 * Records that the last report was not answered. The requests that wait are decided
	 * without the holder if it is lost, else with the next report.
	 * @param failedSequence the number of the report
	 * @param now the current time in monotonic nanoseconds
	 */
	public void handleFailure(long failedSequence, long now) {
		if (failedSequence != this.sequence || !this.isReportPending) {
			return;
		}
		this.isReportPending = false;
		this.isWholeNeeded = true;
		decideWaiting(now);
	}

	/**
	 * Decides on the requests that have waited for too long. Must be called several times
	 * a second.
	 * @param now the current time in monotonic nanoseconds
	 */
	public void tick(long now) {
		decideWaiting(now);
	}

	private void decideWaiting(long now) {
		for (LocalAccount account : List.copyOf(this.accounts.values())) {
			expire(account, now);
			while (!account.waiting.isEmpty()
					&& (isAlone(now) || now - account.waiting.peekFirst().sinceNanos() >= MAX_WAIT_NANOS)) {
				PendingRequest request = account.waiting.pollFirst();
				if (!admit(account, request, now)) {
					rejectForNow(account, request, now);
				}
			}
		}
	}

	/**
	 * Voids all units in hand after this process may have been paused, because their
	 * lifetimes may have passed unnoticed. Requests wait for the holder for a short time.
	 * @param now the current time in monotonic nanoseconds
	 */
	public void handlePause(long now) {
		this.contactNanos = now - QuotaTimes.CONTACT_TIMEOUT + PAUSE_CONTACT_NANOS;
		this.holderContactNanos = this.contactNanos;
		this.isWholeNeeded = true;
		this.sequence += this.isReportPending ? 1 : 0;
		this.isReportPending = false;
		this.accounts.values().forEach((account) -> account.voidGrant(true));
		decideWaiting(now);
	}

	/**
	 * Returns the state for operators.
	 * @return one line for each organisation, never null
	 */
	public String dump() {
		StringBuilder text = new StringBuilder("term=" + this.term + " isAlone=" + this.isAlone + "\n");
		new TreeMap<>(this.accounts).forEach((organisation, account) -> text.append(organisation)
			.append(" admitted=")
			.append(account.admitted)
			.append(" waiting=")
			.append(account.waiting.size())
			.append(' ')
			.append(account.grant)
			.append('\n'));
		return text.toString();
	}

	/**
	 * Ticket of a request that needs units.
	 */
	final class UnitTicket implements Ticket {

		private final LocalAccount account;

		private final long units;

		private boolean isHeld;

		UnitTicket(LocalAccount account, long units) {
			this.account = account;
			this.units = units;
		}

		@Override
		public void refund(long now) {
			if (this.isHeld) {
				this.isHeld = false;
				this.account.refund(this.units);
			}
		}

		@Override
		public void cancel(long now) {
			this.account.waiting.removeIf((request) -> request.ticket() == this);
		}

	}

}
