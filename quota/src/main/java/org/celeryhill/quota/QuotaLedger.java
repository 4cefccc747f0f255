package org.celeryhill.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import org.celeryhill.base.OrganisationId;

/**
 * Quotas of all organisations, as the holder keeps them during one term. It begins
 * without units and learns what hosts have in hand from their reports. Not thread-safe.
 */
public final class QuotaLedger {

	private static final long SWEEP_PERIOD_NANOS = QuotaTimes.nanos(0.1);

	private final Map<OrganisationId, OrganisationPool> pools = new HashMap<>();

	private final Map<String, Host> hosts = new HashMap<>();

	private final QuotaBound bound;

	private final long term;

	private final boolean isDeputy;

	private final long startNanos;

	private long sweptNanos;

	private QuotaLedger(long term, boolean isDeputy, QuotaBound bound, Map<OrganisationId, QuotaLimit> limits,
			long now) {
		this.term = term;
		this.isDeputy = isDeputy;
		this.bound = Objects.requireNonNull(bound, "bound");
		this.startNanos = now;
		this.sweptNanos = now;
		configure(limits, now);
	}

	/**
	 * Creates the ledger of a holder.
	 * @param token the fencing token of its lease
	 * @param bound the tolerance, not null
	 * @param limits the limits by organisation, not null
	 * @param now the current time in monotonic nanoseconds
	 * @return the ledger, never null
	 */
	public static QuotaLedger ofHolder(long token, QuotaBound bound, Map<OrganisationId, QuotaLimit> limits, long now) {
		return new QuotaLedger(token * QuotaTerm.TERMS_PER_TOKEN, false, bound, limits, now);
	}

	/**
	 * Creates the ledger of a deputy, which distributes the shares of the hosts that turn
	 * to it while they hear from no holder.
	 * @param holderTerm the term of the lost holder, as such a host reports it
	 * @param bound the tolerance, not null
	 * @param limits the limits by organisation, not null
	 * @param now the current time in monotonic nanoseconds
	 * @return the ledger, never null
	 */
	public static QuotaLedger ofDeputy(long holderTerm, QuotaBound bound, Map<OrganisationId, QuotaLimit> limits,
			long now) {
		return new QuotaLedger(QuotaTerm.deputy(holderTerm), true, bound, limits, now);
	}

	/**
	 * Returns the term, which tells whether a host may follow this ledger.
	 * @return the term
	 */
	public long term() {
		return this.term;
	}

	/**
	 * Returns whether this is the ledger of a deputy.
	 * @return whether this host is a deputy
	 */
	public boolean isDeputy() {
		return this.isDeputy;
	}

	/**
	 * Returns whether this is the ledger of the holder with a fencing token.
	 * @param token the fencing token
	 * @return whether the holder with that token keeps this ledger
	 */
	public boolean isOfHolder(long token) {
		return !this.isDeputy && this.term == token * QuotaTerm.TERMS_PER_TOKEN;
	}

	/**
	 * Returns whether a host that knows a term must not follow this ledger.
	 * @param otherTerm the term
	 * @return whether the term belongs to a later holder
	 */
	public boolean isOlderThan(long otherTerm) {
		return QuotaTerm.isOlder(this.term, otherTerm);
	}

	/**
	 * Replaces the limits.
	 * @param limits the limits by organisation, not null
	 * @param now the current time in monotonic nanoseconds
	 */
	public void configure(Map<OrganisationId, QuotaLimit> limits, long now) {
		this.pools.keySet().retainAll(limits.keySet());
		this.hosts.values().forEach((host) -> host.accounts.keySet().retainAll(limits.keySet()));
		OrganisationPool.Origin origin = nextOrigin(now);
		limits.forEach((organisation, limit) -> this.pools
			.computeIfAbsent(organisation, (key) -> new OrganisationPool(this.bound, limit, origin, now))
			.configure(limit, now));
	}

	private OrganisationPool.Origin nextOrigin(long now) {
		if (this.isDeputy) {
			return OrganisationPool.Origin.DEPUTY;
		}
		boolean isNew = now - this.startNanos < QuotaTimes.SHARE_LIFETIME;
		return isNew ? OrganisationPool.Origin.NEW_HOLDER : OrganisationPool.Origin.NEW_LIMIT;
	}

	/**
	 * Processes the report of a host.
	 * @param report the report, not null
	 * @param now the current time in monotonic nanoseconds
	 * @return the answer, never null
	 */
	public QuotaAnswer answer(QuotaReport report, long now) {
		sweep(now);
		Host host = this.hosts.get(report.host());
		boolean isNewer = host == null || report.sequence() > host.sequence;
		// A host that has followed another ledger reports what has changed since then
		// only.
		boolean isComplete = report.isWhole() || (host != null && report.term() == this.term);
		if (!isNewer || !isComplete) {
			return new QuotaAnswer(this.term, report.sequence(), true, List.of());
		}
		if (host == null) {
			host = new Host();
			this.hosts.put(report.host(), host);
		}
		host.sequence = report.sequence();
		host.heardNanos = now;
		host.isSilent = false;
		return answer(host, report, now);
	}

	private QuotaAnswer answer(Host host, QuotaReport report, long now) {
		Map<OrganisationId, QuotaReport.Entry> reported = new HashMap<>();
		report.entries().forEach((entry) -> reported.put(entry.organisation(), entry));
		List<QuotaAnswer.Entry> entries = new ArrayList<>();
		this.pools.forEach((organisation, pool) -> {
			HostAccount account = host.accounts.computeIfAbsent(organisation, (key) -> new HostAccount(now));
			QuotaReport.Entry entry = reported.get(organisation);
			pool.refill(now);
			if (entry != null) {
				pool.record(account, entry, now);
			}
			else {
				pool.recordUnchanged(account, now);
			}
			QuotaGrant before = account.grant;
			long need = (entry != null) ? entry.need() : 0;
			long first = (entry != null) ? entry.first() : 0;
			Duration retryAfter = pool.decide(account, need, first, activeHosts(), now);
			if (need > 0 || !account.grant.equals(before)) {
				entries.add(new QuotaAnswer.Entry(organisation, account.grant, retryAfter));
			}
		});
		return new QuotaAnswer(this.term, report.sequence(), false, entries);
	}

	private int activeHosts() {
		return Math.max(1, this.hosts.size());
	}

	// Accounts for what silent hosts may use without this holder.
	private void sweep(long now) {
		if (now - this.sweptNanos < SWEEP_PERIOD_NANOS) {
			return;
		}
		this.sweptNanos = now;
		Iterator<Host> all = this.hosts.values().iterator();
		while (all.hasNext()) {
			Host host = all.next();
			long silence = now - host.heardNanos;
			if (silence > QuotaTimes.SHARE_LIFETIME + QuotaTimes.MESSAGE_DELAY) {
				host.accounts.forEach((organisation, account) -> this.pools.get(organisation).remove(account));
				all.remove();
			}
			else if (silence > QuotaTimes.CONTACT_TIMEOUT) {
				long from = host.isSilent ? host.assumedNanos : host.heardNanos;
				host.isSilent = true;
				host.assumedNanos = now;
				host.accounts.forEach((organisation, account) -> {
					this.pools.get(organisation).refill(now);
					this.pools.get(organisation).assumeUsed(account, now - from);
				});
			}
		}
	}

	/**
	 * Returns whether most hosts that may follow this holder have reported recently, so
	 * that they cannot follow another one.
	 * @param now the current time in monotonic nanoseconds
	 * @return whether more than half of the hosts are in contact
	 */
	public boolean isHeardByMost(long now) {
		sweep(now);
		long heard = this.hosts.values()
			.stream()
			.filter((host) -> now - host.heardNanos <= QuotaTimes.CONTACT_TIMEOUT)
			.count();
		return heard * 2 > this.hosts.size();
	}

	/**
	 * Returns the state for operators.
	 * @return one line for each organisation, never null
	 */
	public String dump() {
		StringBuilder text = new StringBuilder("term=" + this.term + " hosts=" + this.hosts.size() + "\n");
		new TreeMap<>(this.pools)
			.forEach((organisation, pool) -> text.append(organisation).append(' ').append(pool).append('\n'));
		return text.toString();
	}

	private static final class Host {

		private final Map<OrganisationId, HostAccount> accounts = new HashMap<>();

		private long sequence;

		private long heardNanos;

		private boolean isSilent;

		private long assumedNanos;

	}

}
