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
 * Simulates processes that compete for a lease. Promise: at most one process at a time
 * considers its lease usable, and each grant has a higher fencing token than all earlier
 * ones. The clocks of the processes run at different rates, within the ratio that the
 * lease tolerates.
 */
class LeaseSimulation extends Simulation {

	/** Name of the lease that the processes compete for. */
	private static final LeaseName LEASE_NAME = LeaseName.of("group");

	/**
	 * Clock rates of the processes in percent. Their ratio stays below 1.5, since a lease
	 * is used for two thirds of its duration.
	 */
	private static final int[] CLOCK_RATES_PERCENT = { 100, 120, 83 };

	/** Processes that compete for the lease. */
	private final List<Process> processes = new ArrayList<>();

	/** Lease session by granted fencing token. */
	private final Map<FencingToken, AttemptId> sessionByToken = new HashMap<>();

	/** Highest fencing token granted so far. */
	private FencingToken highestToken = FencingToken.ZERO;

	/** Generates the attempt ids of all processes. */
	private final java.util.function.Supplier<AttemptId> attemptIds = AttemptIds.sequential("id");

	LeaseSimulation() {
		for (int i = 0; i < CLOCK_RATES_PERCENT.length; i++) {
			this.processes.add(new Process(HostId.of("planner-" + i), CLOCK_RATES_PERCENT[i]));
		}
	}

	@Override
	Map<String, Integer> actionWeights() {
		return Map.of("acquire", 30, "renew", 15, "release", 2, "crash", 2);
	}

	@Override
	void runStep(Step step) {
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
	void checkPromise() {
		List<Process> holders = this.processes.stream().filter(Process::isHolder).toList();
		require(holders.size() < 2, "several processes consider the lease usable: " + holders);
	}

	@Override
	void checkRecovery() {
		endFaults();
		this.timer.advance(Duration.ofMinutes(2));
		Process process = this.processes.get(0);
		process.acquire();
		this.timer.advance(Duration.ofMinutes(2));
		process.acquire();
		checkPromise();
		require(process.isHolder(), "the lease cannot be acquired although all faults have ended");
	}

	/**
	 * Returns the timer that the lease store of a process uses. Broken variants override
	 * this.
	 * @param clock the clock of the process
	 * @return the timer of the lease store
	 */
	protected TimerService leaseTimer(TimerService clock) {
		return clock;
	}

	/**
	 * Returns whether a process still uses its lease. Broken variants override this.
	 * @param lease the lease that was granted to the process
	 * @param nowNanos the current time on the clock of the process, in nanoseconds
	 * @return true if the process acts under the lease
	 */
	protected boolean isLeaseUsed(Lease lease, long nowNanos) {
		return lease.isUsable(nowNanos);
	}

	private void checkGrant(Lease lease) {
		AttemptId earlierSession = this.sessionByToken.putIfAbsent(lease.token(), lease.session());
		require(earlierSession == null || earlierSession.equals(lease.session()),
				"token was granted to two sessions: " + lease.token());
		require(lease.token().compareTo(this.highestToken) >= 0,
				"token " + lease.token() + " was granted after " + this.highestToken);
		this.highestToken = lease.token();
	}

	/** A process that competes for the lease. */
	private final class Process {

		/** Host of the process. */
		private final HostId host;

		/** Clock of the host, which runs at its own rate. */
		private final TimerService clock;

		/** Identity of the running process; a crash replaces it. */
		private Object incarnation;

		/** Lease store of the running process. */
		private LeaseStore leaseStore;

		/** Latest granted lease, null if the process has none. */
		private Lease lease;

		private Process(HostId host, int ratePercent) {
			this.host = host;
			this.clock = new ScaledTimerService(LeaseSimulation.this.timer, ratePercent);
			restart();
		}

		private void restart() {
			Object newIncarnation = new Object();
			this.incarnation = newIncarnation;
			this.lease = null;
			this.leaseStore = LeaseStore.create(
					ConditionalWriter.create(processTable(() -> this.incarnation == newIncarnation),
							LeaseSimulation.this.attemptIds, RetryPolicy.immediate()),
					leaseTimer(this.clock), this.host, Duration.ofSeconds(15));
		}

		private void acquire() {
			LeaseStore.AcquireResult result = this.leaseStore.acquire(LEASE_NAME);
			if (result instanceof LeaseStore.Granted granted) {
				this.lease = granted.lease();
				checkGrant(this.lease);
			}
			else if (result instanceof LeaseStore.HeldBy) {
				this.lease = null;
			}
		}

		private void renew() {
			if (this.lease == null) {
				return;
			}
			LeaseStore.RenewResult result = this.leaseStore.renew(this.lease);
			if (result instanceof LeaseStore.Granted granted) {
				this.lease = granted.lease();
				checkGrant(this.lease);
			}
			else if (result instanceof LeaseStore.Lost) {
				this.lease = null;
			}
		}

		private void release() {
			if (this.lease != null) {
				Lease releasedLease = this.lease;
				this.lease = null;
				this.leaseStore.release(releasedLease);
			}
		}

		private boolean isHolder() {
			return this.lease != null && isLeaseUsed(this.lease, leaseTimer(this.clock).nanoTime());
		}

		@Override
		public String toString() {
			return this.host + " " + this.lease;
		}

	}

	/** Clock whose monotonic time runs at a fixed rate relative to virtual time. */
	private static final class ScaledTimerService implements TimerService {

		/** Virtual time. */
		private final TimerService virtualTimer;

		/** Rate relative to virtual time, in percent. */
		private final int ratePercent;

		private ScaledTimerService(TimerService time, int ratePercent) {
			this.virtualTimer = time;
			this.ratePercent = ratePercent;
		}

		@Override
		public long nanoTime() {
			return this.virtualTimer.nanoTime() / 100 * this.ratePercent;
		}

		@Override
		public Instant instant() {
			return this.virtualTimer.instant();
		}

		@Override
		public Flowable<Long> ticks(Duration period) {
			return this.virtualTimer.ticks(period);
		}

		@Override
		public Disposable after(Duration delay, Runnable task) {
			return this.virtualTimer.after(delay, task);
		}

	}

}
