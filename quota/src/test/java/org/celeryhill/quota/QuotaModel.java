package org.celeryhill.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongUnaryOperator;
import java.util.function.UnaryOperator;

import org.celeryhill.base.OrganisationId;

/**
 * Hosts that keep quotas together in virtual time, with a counter that knows every
 * admitted unit. Messages take 1 to 5 ms. The monotonic clock of each host begins
 * elsewhere and stops while the host is frozen.
 */
final class QuotaModel {

	static final QuotaBound BOUND = new QuotaBound(java.time.Duration.ofSeconds(8), 0.1, 17_000);

	static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private static final long HEARTBEAT = 300 * MILLI;

	private static final long CONFIGURATION_TIME = 3 * SECOND;

	private static final long CALL_TIMEOUT = 700 * MILLI;

	/** Time from the loss of a holder until another host holds the lease. */
	long replacementNanos = 2500 * MILLI;

	final List<Host> hosts = new ArrayList<>();

	final Random random;

	double lossProbability;

	/** Whether reports do not tell what hosts use, to plant a fault. */
	boolean isUseHidden;

	/** Changes an answer on its way, to plant a fault. */
	UnaryOperator<QuotaAnswer> answerFault = UnaryOperator.identity();

	/** Changes the start of a new holder, to plant a fault. */
	LongUnaryOperator ledgerStartFault = LongUnaryOperator.identity();

	boolean isPauseIgnored;

	long calls;

	long heartbeats;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final Map<OrganisationId, Counter> counters = new HashMap<>();

	private Map<OrganisationId, QuotaLimit> limits;

	private long now;

	private long eventCount;

	private long term;

	private Host holder;

	private Host deputy;

	/** Whether hosts turn to the deputy of a lost holder. */
	boolean hasDeputy = true;

	QuotaModel(int hostCount, Map<OrganisationId, QuotaLimit> limits, long seed) {
		this.random = new Random(seed);
		this.limits = limits;
		for (int i = 0; i < hostCount; i++) {
			addHost();
		}
		limits.keySet().forEach((organisation) -> this.counters.put(organisation, new Counter()));
		appoint(this.hosts.get(0));
	}

	Host addHost() {
		Host host = new Host("h" + this.hosts.size());
		this.hosts.add(host);
		host.start();
		return host;
	}

	Counter counter(OrganisationId organisation) {
		return this.counters.get(organisation);
	}

	Host holder() {
		return this.holder;
	}

	void at(double seconds, Runnable action) {
		schedule((long) (seconds * SECOND), action);
	}

	private void schedule(long time, Runnable action) {
		this.events.add(new Event(time, this.eventCount++, action));
	}

	private void after(long delay, Runnable action) {
		schedule(this.now + delay, action);
	}

	void run(double seconds) {
		long end = (long) (seconds * SECOND);
		while (!this.events.isEmpty() && this.events.peek().time() < end) {
			Event event = this.events.poll();
			this.now = event.time();
			event.action().run();
		}
		this.now = end;
	}

	// Offers requests of an organisation at random times to selected hosts.
	void offer(OrganisationId organisation, double unitsPerSecond, double from, double to, IntSupplier target) {
		double meanSeconds = 2400 / unitsPerSecond;
		double next = from - Math.log(1 - this.random.nextDouble()) * meanSeconds;
		while (next < to) {
			at(next, () -> this.hosts.get(target.getAsInt()).request(organisation, randomCost(organisation)));
			next -= Math.log(1 - this.random.nextDouble()) * meanSeconds;
		}
	}

	int anyHost() {
		return this.random.nextInt(this.hosts.size());
	}

	// A third of the requests states no tokens; the mean is about 2,400.
	private long randomCost(OrganisationId organisation) {
		if (this.random.nextInt(3) == 0) {
			return -1;
		}
		long cost = 1500 + Math.round(-Math.log(1 - this.random.nextDouble()) * 2000);
		return Math.min(cost, (long) Math.min(7000, this.limits.get(organisation).burst()));
	}

	// Makes a host the holder. Hosts learn of it at different times.
	void appoint(Host next) {
		this.term++;
		long newTerm = this.term;
		this.holder = next;
		next.ledger = QuotaLedger.ofHolder(newTerm, BOUND, this.limits,
				this.ledgerStartFault.applyAsLong(next.clock()));
		this.deputy = this.hosts.get(anyHost());
		for (Host host : this.hosts) {
			after((host == next) ? 0 : this.random.nextInt(500) * MILLI, () -> host.follow(next, newTerm));
		}
	}

	// Takes the current holder away and appoints another host some time later.
	void replaceHolder(Runnable loss) {
		loss.run();
		after(this.replacementNanos, () -> appointOtherThan(this.holder));
	}

	private void appointOtherThan(Host old) {
		List<Host> candidates = this.hosts.stream().filter((host) -> host != old && host.isReachable()).toList();
		if (candidates.isEmpty()) {
			after(SECOND / 2, () -> appointOtherThan(old));
		}
		else {
			appoint(candidates.get(this.random.nextInt(candidates.size())));
		}
	}

	void configure(Map<OrganisationId, QuotaLimit> newLimits) {
		this.limits = newLimits;
		for (Host host : this.hosts) {
			after(this.random.nextInt(500) * MILLI, () -> host.configure(newLimits));
		}
	}

	// Lowers the limits, which bind one window after the time that hosts have to apply
	// them.
	void lowerLimits(Map<OrganisationId, QuotaLimit> newLimits) {
		configure(newLimits);
		long from = this.now + CONFIGURATION_TIME + BOUND.window().toNanos();
		this.counters.values().forEach((counter) -> counter.countedFrom = from);
	}

	private long delay() {
		return MILLI + this.random.nextInt(4000) * MILLI / 1000;
	}

	/**
	 * Host with its own clock.
	 */
	final class Host {

		private final String name;

		private long clockOffset = QuotaModel.this.random.nextInt();

		private HostQuota quota;

		private QuotaLedger ledger;

		private Host followed;

		private long followedTerm;

		private int starts;

		private boolean isAlive;

		private boolean isCut;

		private long frozenSince = -1;

		private final Map<OrganisationId, Long> hidden = new HashMap<>();

		private final Deque<Runnable> missed = new ArrayDeque<>();

		Host(String name) {
			this.name = name;
		}

		private long clock() {
			return QuotaModel.this.now + this.clockOffset;
		}

		private boolean isReachable() {
			return this.isAlive && !this.isCut && this.frozenSince < 0;
		}

		void start() {
			this.isAlive = true;
			this.frozenSince = -1;
			this.missed.clear();
			int start = ++this.starts;
			this.quota = new HostQuota(this.name + "-" + start, BOUND, new QuotaListener() {
				@Override
				public void onReportNeeded() {
					QuotaModel.this.calls++;
					after(0, () -> send());
				}
			});
			this.quota.configure(QuotaModel.this.limits, clock());
			this.followed = QuotaModel.this.holder;
			this.followedTerm = QuotaModel.this.term;
			after(QuotaModel.this.random.nextInt(300) * MILLI, () -> beat(start));
		}

		void kill() {
			this.isAlive = false;
			this.ledger = null;
		}

		void setCut(boolean isCut) {
			this.isCut = isCut;
		}

		void freeze() {
			this.frozenSince = (this.frozenSince < 0) ? QuotaModel.this.now : this.frozenSince;
		}

		void wake() {
			if (this.frozenSince < 0) {
				return;
			}
			this.clockOffset -= QuotaModel.this.now - this.frozenSince;
			this.frozenSince = -1;
			if (!QuotaModel.this.isPauseIgnored) {
				this.quota.handlePause(clock());
				this.ledger = null;
			}
			while (!this.missed.isEmpty()) {
				this.missed.pollFirst().run();
			}
		}

		private void follow(Host next, long newTerm) {
			if (newTerm > this.followedTerm) {
				this.followed = next;
				this.followedTerm = newTerm;
			}
		}

		private void configure(Map<OrganisationId, QuotaLimit> newLimits) {
			this.quota.configure(newLimits, clock());
			if (this.ledger != null) {
				this.ledger.configure(newLimits, clock());
			}
		}

		private void beat(int start) {
			if (start != this.starts || !this.isAlive) {
				return;
			}
			if (this.frozenSince < 0) {
				this.quota.tick(clock());
				QuotaModel.this.heartbeats++;
				send();
			}
			after(HEARTBEAT, () -> beat(start));
		}

		private void send() {
			if (!this.isAlive || this.followed == null) {
				return;
			}
			this.quota.nextReport(clock()).ifPresent((original) -> {
				QuotaReport report = hideUse(original);
				long sent = clock();
				Host target = nextTarget();
				HostQuota sender = this.quota;
				after(target.isAlive ? CALL_TIMEOUT : delay(), () -> receive(() -> fail(sender, report)));
				boolean isDelivered = target.isReachable() && !this.isCut && !isLost();
				if (!isDelivered) {
					return;
				}
				after(delay(), () -> target.process(report).ifPresent((answer) -> {
					if (!isLost() && !this.isCut) {
						after(delay(), () -> receive(() -> accept(sender, answer, sent)));
					}
				}));
			});
		}

		// A host that has lost the holder asks its deputy until a heartbeat is answered.
		private Host nextTarget() {
			boolean isLost = QuotaModel.this.hasDeputy && this.quota.isHolderLost(clock());
			boolean isAnswered = this.followed.isReachable() && this.followed.ledger != null && !this.isCut;
			return (isLost && !isAnswered) ? QuotaModel.this.deputy : this.followed;
		}

		private boolean isLost() {
			return QuotaModel.this.random.nextDouble() < QuotaModel.this.lossProbability;
		}

		// Returns a report of units in hand without those that were used before.
		private QuotaReport hideUse(QuotaReport report) {
			if (!QuotaModel.this.isUseHidden) {
				return report;
			}
			List<QuotaReport.Entry> entries = new ArrayList<>();
			for (QuotaReport.Entry entry : report.entries()) {
				this.hidden.put(entry.organisation(), entry.admitted());
				entries.add(new QuotaReport.Entry(entry.organisation(), 0, 0,
						withHidden(entry.grant(), -entry.admitted()), entry.largest(), entry.need(), entry.first()));
			}
			return new QuotaReport(report.host(), report.term(), report.sequence(), report.isWhole(), entries);
		}

		private QuotaAnswer revealUse(QuotaAnswer answer) {
			List<QuotaAnswer.Entry> entries = answer.entries()
				.stream()
				.map((entry) -> new QuotaAnswer.Entry(entry.organisation(),
						withHidden(entry.grant(), this.hidden.getOrDefault(entry.organisation(), 0L)),
						entry.retryAfter()))
				.toList();
			return new QuotaAnswer(answer.term(), answer.sequence(), answer.isWholeNeeded(), entries);
		}

		private QuotaGrant withHidden(QuotaGrant grant, long units) {
			return new QuotaGrant(grant.ceiling() + units, grant.isLoan(), grant.share());
		}

		private Optional<QuotaAnswer> process(QuotaReport report) {
			if (!isReachable()) {
				return Optional.empty();
			}
			boolean isOld = this.ledger == null || QuotaTerm.isOlder(this.ledger.term(), report.term());
			if (isOld && (this != QuotaModel.this.deputy || report.term() == 0)) {
				return Optional.empty();
			}
			if (isOld) {
				this.ledger = QuotaLedger.ofDeputy(report.term(), BOUND, QuotaModel.this.limits, clock());
			}
			return Optional.of(this.ledger.answer(report, clock()));
		}

		// Runs an action on this host, after it has woken if it is frozen.
		private void receive(Runnable action) {
			if (this.frozenSince >= 0) {
				this.missed.addLast(action);
			}
			else if (this.isAlive) {
				action.run();
			}
		}

		private void accept(HostQuota sender, QuotaAnswer answer, long sent) {
			if (sender == this.quota) {
				this.quota.handleAnswer(QuotaModel.this.answerFault.apply(revealUse(answer)), sent, clock());
				if (this.quota.isReportNeeded()) {
					QuotaModel.this.calls++;
					send();
				}
			}
		}

		private void fail(HostQuota sender, QuotaReport report) {
			if (sender == this.quota) {
				this.quota.handleFailure(report.sequence(), clock());
			}
		}

		private void request(OrganisationId organisation, long tokens) {
			Counter counter = counter(organisation);
			long units = (tokens < 0) ? 200 : tokens;
			counter.offered += units;
			if (!this.isAlive || this.frozenSince >= 0) {
				return;
			}
			QuotaGate.Ticket[] ticket = new QuotaGate.Ticket[1];
			ticket[0] = this.quota.request(organisation, tokens, clock(), (decision) -> {
				if (decision instanceof QuotaDecision.Admitted) {
					boolean isRefunded = QuotaModel.this.random.nextInt(20) == 0;
					if (isRefunded) {
						after(MILLI, () -> receive(() -> ticket[0].refund(clock())));
						counter.refunded += units;
					}
					else {
						counter.add(QuotaModel.this.now, units, QuotaModel.this.limits.get(organisation));
					}
				}
			});
			HostQuota asked = this.quota;
			after(HostQuota.MAX_WAIT_NANOS, () -> receive(() -> {
				if (asked == this.quota) {
					this.quota.tick(clock());
				}
			}));
		}

	}

	/**
	 * Counts the units of one organisation that all hosts admit.
	 */
	static final class Counter {

		private final Deque<long[]> window = new ArrayDeque<>();

		private long windowUnits;

		long offered;

		long admitted;

		long refunded;

		/** Largest part of the bound that a window used. */
		double worst;

		/** Time from which windows are counted against the limit. */
		long countedFrom;

		void add(long time, long units, QuotaLimit limit) {
			this.admitted += units;
			this.window.addLast(new long[] { time, units });
			this.windowUnits += units;
			while (this.window.peekFirst()[0] <= time - BOUND.window().toNanos()) {
				this.windowUnits -= this.window.pollFirst()[1];
			}
			if (time >= this.countedFrom) {
				this.worst = Math.max(this.worst, this.windowUnits / BOUND.windowLimit(limit));
			}
		}

		// Part of the offered units that was admitted since the last call.
		double takeServedPart() {
			double part = (double) (this.admitted + this.refunded) / this.offered;
			this.offered = 0;
			this.admitted = 0;
			this.refunded = 0;
			return part;
		}

	}

	private record Event(long time, long order, Runnable action) implements Comparable<Event> {
		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.time, other.time);
			return (byTime != 0) ? byTime : Long.compare(this.order, other.order);
		}
	}

}
