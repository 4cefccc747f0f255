package org.celeryhill.fuzz;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.disposables.Disposable;
import org.celeryhill.base.AttemptId;
import org.celeryhill.base.FencingToken;
import org.celeryhill.base.HostId;
import org.celeryhill.base.TimerService;
import org.celeryhill.state.AttemptIds;
import org.celeryhill.state.ConditionalWriter;
import org.celeryhill.state.Lease;
import org.celeryhill.state.LeaseName;
import org.celeryhill.state.LeaseStore;
import org.celeryhill.state.RetryPolicy;

/**
 * Promise: at most one process at a time sees its lease as usable, and each grant has a
 * higher token than all earlier ones. The clocks of the processes run at different rates
 * within the factor that the lease allows for.
 */
class LeaseWorld extends World {

	/** Lease under test. */
	private static final LeaseName NAME = LeaseName.of("group");

	/** Rates of the clocks in percent; their ratio stays below 1.5. */
	private static final int[] RATES = { 100, 120, 83 };

	/** Processes. */
	private final List<Process> processes = new ArrayList<>();

	/** Process by token. */
	private final Map<FencingToken, AttemptId> grants = new HashMap<>();

	/** Highest token granted so far. */
	private FencingToken highest = FencingToken.ZERO;

	/** Ids of all processes. */
	private final java.util.function.Supplier<AttemptId> ids = AttemptIds.sequential("id");

	LeaseWorld() {
		for (int i = 0; i < RATES.length; i++) {
			this.processes.add(new Process(HostId.of("planner-" + i), RATES[i]));
		}
	}

	@Override
	Map<String, Integer> actions() {
		return Map.of("acquire", 30, "renew", 15, "release", 2, "crash", 2);
	}

	@Override
	void run(Step step) {
		Process process = this.processes.get(step.a() % this.processes.size());
		switch (step.action()) {
			case "acquire" -> process.acquire();
			case "renew" -> process.renew();
			case "release" -> process.release();
			case "crash" -> process.restart();
			default -> throw new IllegalArgumentException("unknown action " + step.action());
		}
	}

	@Override
	void check() {
		List<Process> holders = this.processes.stream().filter(Process::isHolder).toList();
		require(holders.size() < 2, "two processes see the lease as usable: " + holders);
	}

	@Override
	void finish() {
		heal();
		this.timer.advance(Duration.ofMinutes(2));
		Process process = this.processes.get(0);
		process.acquire();
		this.timer.advance(Duration.ofMinutes(2));
		process.acquire();
		check();
		require(process.isHolder(), "the lease cannot be acquired although all faults have ended");
	}

	/**
	 * Returns the time that the lease store of a process uses. Broken variants replace
	 * this.
	 * @param clock the clock of the process
	 * @return the time
	 */
	protected TimerService leaseTimer(TimerService clock) {
		return clock;
	}

	/**
	 * Returns whether a process uses its lease. Broken variants replace this.
	 * @param lease the lease
	 * @param nowNanos the time of the process
	 * @return true if it uses it
	 */
	protected boolean isUsed(Lease lease, long nowNanos) {
		return lease.isUsable(nowNanos);
	}

	private void observeGrant(Lease lease) {
		AttemptId earlier = this.grants.putIfAbsent(lease.token(), lease.session());
		require(earlier == null || earlier.equals(lease.session()), "token granted twice: " + lease.token());
		require(lease.token().compareTo(this.highest) >= 0, "token " + lease.token() + " after " + this.highest);
		this.highest = lease.token();
	}

	/** A process that wants the lease. */
	private final class Process {

		/** Host. */
		private final HostId host;

		/** Clock of the host. */
		private final TimerService clock;

		/** Identity of the running process. */
		private Object life;

		/** Leases of the process. */
		private LeaseStore leases;

		/** Lease, null if the process has none. */
		private Lease lease;

		private Process(HostId host, int ratePercent) {
			this.host = host;
			this.clock = new RatedTimer(LeaseWorld.this.timer, ratePercent);
			restart();
		}

		private void restart() {
			Object started = new Object();
			this.life = started;
			this.lease = null;
			this.leases = LeaseStore.create(ConditionalWriter.create(processTable(() -> this.life == started),
					LeaseWorld.this.ids, RetryPolicy.immediate()), leaseTimer(this.clock), this.host,
					Duration.ofSeconds(15));
		}

		private void acquire() {
			LeaseStore.AcquireResult result = this.leases.acquire(NAME);
			if (result instanceof LeaseStore.Granted granted) {
				this.lease = granted.lease();
				observeGrant(this.lease);
			}
			else if (result instanceof LeaseStore.HeldBy) {
				this.lease = null;
			}
		}

		private void renew() {
			if (this.lease == null) {
				return;
			}
			LeaseStore.RenewResult result = this.leases.renew(this.lease);
			if (result instanceof LeaseStore.Granted granted) {
				this.lease = granted.lease();
				observeGrant(this.lease);
			}
			else if (result instanceof LeaseStore.Lost) {
				this.lease = null;
			}
		}

		private void release() {
			if (this.lease != null) {
				Lease old = this.lease;
				this.lease = null;
				this.leases.release(old);
			}
		}

		private boolean isHolder() {
			return this.lease != null && isUsed(this.lease, leaseTimer(this.clock).nanoTime());
		}

		@Override
		public String toString() {
			return this.host + " " + this.lease;
		}

	}

	/** Clock that runs at another rate than the virtual time. */
	private static final class RatedTimer implements TimerService {

		/** Virtual time. */
		private final TimerService time;

		/** Rate in percent. */
		private final int ratePercent;

		private RatedTimer(TimerService time, int ratePercent) {
			this.time = time;
			this.ratePercent = ratePercent;
		}

		@Override
		public long nanoTime() {
			return this.time.nanoTime() / 100 * this.ratePercent;
		}

		@Override
		public Instant instant() {
			return this.time.instant();
		}

		@Override
		public Flowable<Long> ticks(Duration period) {
			return this.time.ticks(period);
		}

		@Override
		public Disposable after(Duration delay, Runnable task) {
			return this.time.after(delay, task);
		}

	}

}
