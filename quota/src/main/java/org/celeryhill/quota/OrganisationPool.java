package org.celeryhill.quota;

import java.time.Duration;

/**
 * Units of one organisation that the holder has not yet seen used. They grow with the
 * rate of the limit up to a capacity, and every unit that a host admits is taken from
 * them once. Units that hosts may still admit are kept back, so that the units admitted
 * in a window never exceed the capacity and the growth in that window. Not thread-safe.
 */
final class OrganisationPool {

	/**
	 * Part of the capacity that hosts may have in hand. A new holder, which does not know
	 * what they have, does not collect more than the other part meanwhile.
	 */
	private static final double GRANTED_PART = 0.6;

	/**
	 * Time for which units must last at the usual demand, if they are lent: they last for
	 * a demand of eight times the usual one, until all hosts know that units are scarce
	 * again, a heartbeat period later.
	 */
	private static final double MIN_LOAN_SECONDS = 2.4;

	/**
	 * Time for which the units of the pool must last, if the bound of the window leaves
	 * the above. The demand that exceeds them has to be made up for afterwards.
	 */
	private static final double MIN_POOL_SECONDS = 1.0;

	/**
	 * Factor of these times for units that are scarce now, so that the state is stable.
	 */
	private static final double ABUNDANCE_FACTOR = 1.25;

	/** Demand that is expected of an organisation at least, as a part of its rate. */
	private static final double MIN_DEMAND_PART = 0.5;

	/** Largest part of the capacity that is lent to one host. */
	private static final double MAX_LOAN_PART = 0.25;

	/** Requests of the largest size for which a loan suffices at least. */
	private static final int LOAN_REQUESTS = 1;

	/** Time for which a loan suffices at the usual demand of the host. */
	private static final double LOAN_SECONDS = 1.0;

	/** Time for which a grant in advance suffices at the usual demand of the host. */
	private static final double ADVANCE_SECONDS = 0.4;

	/** Part of the shares that is spread evenly over hosts, whatever their demand is. */
	private static final double EVEN_PART = 0.2;

	/** Relative change below which a grant is left as it is. */
	private static final double MIN_CHANGE = 0.25;

	/** Longest time until units are promised to a rejected request. */
	private static final long MAX_PROMISE_NANOS = QuotaTimes.nanos(2);

	private final QuotaBound bound;

	private final long startNanos;

	private final RecentUse recentUse;

	private QuotaLimit limit;

	private double capacity;

	private double units;

	private double reserved;

	/** Units taken for silent hosts, which may still be used. */
	private double assumed;

	private double shares;

	private double demand;

	private double requestedDemand;

	private long largest;

	private long refilledNanos;

	private long promisedUntilNanos;

	private final Origin origin;

	private boolean hasPredecessor;

	private boolean isScarce = true;

	OrganisationPool(QuotaBound bound, QuotaLimit limit, Origin origin, long now) {
		this.bound = bound;
		this.origin = origin;
		this.limit = limit;
		this.capacity = bound.capacity(limit);
		this.startNanos = now;
		this.recentUse = new RecentUse(bound.window().toNanos());
		this.refilledNanos = now;
		this.promisedUntilNanos = now;
	}

	// Replaces the limit. Units change in proportion, so that a lower limit takes effect
	// at once.
	void configure(QuotaLimit newLimit, long now) {
		if (newLimit.equals(this.limit)) {
			return;
		}
		refill(now);
		double newCapacity = this.bound.capacity(newLimit);
		this.units *= Math.min(1, newCapacity / this.capacity);
		this.limit = newLimit;
		this.capacity = newCapacity;
	}

	// Adds the units that have become available since the last call.
	void refill(long now) {
		double elapsed = QuotaTimes.seconds(now - this.refilledNanos);
		if (elapsed <= 0 || isOriginUnknown(now)) {
			return;
		}
		this.refilledNanos = now;
		boolean isHandUnknown = this.origin != Origin.NEW_LIMIT && now - this.startNanos < QuotaTimes.GRANT_LIFETIME;
		double most = this.capacity - this.assumed;
		double maxUnits = isHandUnknown ? Math.min(most, this.reserved + (1 - GRANTED_PART) * this.capacity) : most;
		double knownPart = isTakingOver(now) ? Math.min(1, this.shares) : 1;
		double grown = this.units + this.limit.ratePerSecond() * elapsed * knownPart;
		this.units = Math.max(this.units, Math.min(maxUnits, grown));
	}

	// Returns whether hosts may still tell of an earlier holder. The growth of this time
	// is added after it.
	private boolean isOriginUnknown(long now) {
		return this.origin == Origin.NEW_HOLDER && !this.hasPredecessor
				&& now - this.startNanos < QuotaTimes.FIRST_HOLDER_TIME;
	}

	// Returns whether hosts that have not yet reported may use the shares that an earlier
	// holder gave them.
	private boolean isTakingOver(long now) {
		return switch (this.origin) {
			case NEW_LIMIT -> false;
			case NEW_HOLDER ->
				isOriginUnknown(now) || (this.hasPredecessor && now - this.startNanos < QuotaTimes.SHARE_LIFETIME);
			case DEPUTY -> true;
		};
	}

	// Records the state that a host reports.
	void record(HostAccount account, QuotaReport.Entry entry, long now) {
		double requested = entry.requested() - account.requested;
		double used = entry.admitted() - account.admitted;
		account.requested = entry.requested();
		account.admitted = entry.admitted();
		replaceShare(account, entry.grant().share());
		account.grant = entry.grant();
		if (account.isKnown) {
			settle(account, used);
			recordDemand(account, requested, used, now);
			this.recentUse.add(used, now);
		}
		else if (!entry.grant().isLoan()) {
			// An earlier holder took these units from its own pool.
			this.units += account.unused();
		}
		boolean isFollower = entry.grant().share() > 0 && !account.isKnown;
		this.hasPredecessor |= isFollower && now - this.startNanos < QuotaTimes.TAKEOVER_TIME;
		account.isKnown = true;
		reserve(account, entry.grant().isLoan() ? 0 : account.unused());
		this.largest = Math.max(this.largest, entry.largest());
	}

	// Records that a host has admitted nothing since its last report.
	void recordUnchanged(HostAccount account, long now) {
		if (account.assumed > 0) {
			settle(account, 0);
			reserve(account, account.grant.isLoan() ? 0 : account.unused());
		}
		recordDemand(account, 0, 0, now);
	}

	// Replaces what a host was assumed to have used by what it has used.
	private void settle(HostAccount account, double used) {
		this.assumed = Math.max(0, this.assumed - account.assumed);
		this.units = Math.min(this.capacity - this.assumed, this.units + account.assumed - used);
		account.assumed = 0;
	}

	private void recordDemand(HostAccount account, double requested, double used, long now) {
		this.demand -= account.demand;
		this.requestedDemand -= account.requestedDemand;
		account.recordDemand(requested, used, now);
		this.demand = Math.max(0, this.demand + account.demand);
		this.requestedDemand = Math.max(0, this.requestedDemand + account.requestedDemand);
	}

	private void reserve(HostAccount account, double amount) {
		this.reserved = Math.max(0, this.reserved + amount - account.reserved);
		account.reserved = amount;
	}

	private void replaceShare(HostAccount account, double share) {
		this.shares = Math.max(0, this.shares + share - account.grant.share());
		account.grant = new QuotaGrant(account.grant.ceiling(), account.grant.isLoan(), share);
	}

	// Takes what a silent host has in hand, and its share of the elapsed time, from the
	// pool, because the host may use it.
	void assumeUsed(HostAccount account, long elapsedNanos) {
		double used = account.reserved
				+ account.grant.share() * this.limit.ratePerSecond() * QuotaTimes.seconds(elapsedNanos);
		reserve(account, 0);
		account.assumed += used;
		this.assumed += used;
		this.units -= used;
	}

	// Forgets a host that may not use anything any more.
	void remove(HostAccount account) {
		reserve(account, 0);
		replaceShare(account, 0);
		this.assumed = Math.max(0, this.assumed - account.assumed);
		this.demand = Math.max(0, this.demand - account.demand);
		this.requestedDemand = Math.max(0, this.requestedDemand - account.requestedDemand);
	}

	/**
	 * Decides what a host may admit from now on.
	 * @param account the account of the host, not null
	 * @param need the units of the requests that wait on the host
	 * @param first the units of the request that has waited longest
	 * @param hosts the number of hosts
	 * @param now the current time in monotonic nanoseconds
	 * @return the time until units will be available for the requests that the grant of
	 * the account does not cover then, never null
	 */
	Duration decide(HostAccount account, long need, long first, int hosts, long now) {
		refill(now);
		updateScarcity(now);
		double free = this.units - (this.reserved - account.reserved);
		long target = (long) (this.isScarce ? scarceUnits(account, free, need, first, hosts)
				: loanUnits(account, free, need, first));
		double share = isTakingOver(now) ? account.grant.share() : nextShare(account, hosts);
		double inHand = account.unused();
		boolean isKept = need == 0 && account.grant.isLoan() != this.isScarce
				&& Math.abs(target - inHand) <= MIN_CHANGE * Math.max(target, inHand);
		double mostInHand = isKept ? inHand : Math.max(target, account.reserved);
		long ceiling = isKept ? account.grant.ceiling() : account.admitted + target;
		replaceShare(account, share);
		account.grant = new QuotaGrant(ceiling, !this.isScarce, share);
		// A host uses its old grant until it receives the new one.
		reserve(account, this.isScarce ? mostInHand : 0);
		long missing = need - (ceiling - account.admitted);
		return (missing > 0) ? promise(missing, now) : Duration.ZERO;
	}

	private void updateScarcity(long now) {
		double usual = Math.max(this.demand, MIN_DEMAND_PART * this.limit.ratePerSecond());
		double factor = usual * (this.isScarce ? ABUNDANCE_FACTOR : 1);
		double minUnits = factor * (hasRoomInWindow(usual, now) ? MIN_POOL_SECONDS : MIN_LOAN_SECONDS);
		this.isScarce = this.units - this.reserved < minUnits;
	}

	// Returns whether the bound allows a multiple of the usual demand, even if nothing
	// that was used in the last window is forgotten. Unknown until a window has passed.
	private boolean hasRoomInWindow(double usual, long now) {
		long window = this.bound.window().toNanos();
		double room = this.bound.windowLimit(this.limit) - this.recentUse.total(now) - this.reserved;
		return window > 0 && now - this.startNanos > window && room >= MIN_LOAN_SECONDS * usual;
	}

	private double loanUnits(HostAccount account, double free, long need, long first) {
		double most = Math.max(first, MAX_LOAN_PART * this.capacity);
		double usual = LOAN_REQUESTS * largestRequest() + LOAN_SECONDS * account.demand;
		return Math.min(free, Math.min(most, Math.max(usual, need)));
	}

	private double scarceUnits(HostAccount account, double free, long need, long first, int hosts) {
		double grantable = GRANTED_PART * this.capacity - (this.reserved - account.reserved);
		double room = Math.max(0, Math.min(free, Math.max(grantable, first)));
		double needed = (first > 0 && room >= first) ? Math.min(need, room) : 0;
		return Math.max(needed, advanceUnits(account, room, hosts));
	}

	// Returns the units that the host gets for requests that have not yet arrived. They
	// are of no use in portions that are smaller than a request.
	private double advanceUnits(HostAccount account, double room, int hosts) {
		double expected = ADVANCE_SECONDS * account.demand;
		boolean isDivisible = GRANTED_PART * this.capacity >= largestRequest() * hosts;
		if (!isDivisible && expected < largestRequest()) {
			return 0;
		}
		double wanted = Math.max(expected, largestRequest());
		double inHand = Math.min(account.reserved, room);
		double part = (this.demand > 0) ? account.demand / this.demand : 1.0 / hosts;
		return Math.min(wanted, inHand + (room - inHand) * part);
	}

	private double largestRequest() {
		return Math.max(this.largest, this.limit.unit().cost(this.limit.defaultTokens()));
	}

	// Returns the part of the rate for a host. It follows what is requested there, since
	// what a host has admitted of a rate that does not suffice depends on how soon it is
	// answered.
	private double nextShare(HostAccount account, int hosts) {
		double even = 1.0 / hosts;
		double part = (this.requestedDemand > 0) ? account.requestedDemand / this.requestedDemand : even;
		double wanted = EVEN_PART * even + (1 - EVEN_PART) * part;
		double previous = account.grant.share();
		double next = Math.min(wanted, Math.max(0, 1 - (this.shares - previous)));
		boolean isKept = Math.abs(next - previous) <= MIN_CHANGE * Math.max(previous, even);
		return isKept ? previous : next;
	}

	// Returns the time until units grow for a rejected request, behind those that were
	// rejected before it.
	private Duration promise(long missing, long now) {
		long begin = Math.max(now, this.promisedUntilNanos);
		long needed = QuotaTimes.nanos(missing / this.limit.ratePerSecond());
		this.promisedUntilNanos = Math.min(now + MAX_PROMISE_NANOS, begin + needed);
		return Duration.ofNanos(Math.max(1, this.promisedUntilNanos - now));
	}

	boolean isScarce() {
		return this.isScarce;
	}

	@Override
	public String toString() {
		return "OrganisationPool[units=" + Math.round(this.units) + ", capacity=" + Math.round(this.capacity)
				+ ", reserved=" + Math.round(this.reserved) + ", demandPerSecond=" + Math.round(this.demand)
				+ ", isScarce=" + this.isScarce + "]";
	}

	/**
	 * Why a pool begins.
	 */
	enum Origin {

		/** The limit is new, so that no other holder has granted anything. */
		NEW_LIMIT,

		/** The holder is new; hosts may use for a while what an earlier one granted. */
		NEW_HOLDER,

		/**
		 * The holder is lost, and a deputy distributes the shares of the hosts that turn
		 * to it.
		 */
		DEPUTY

	}

}
