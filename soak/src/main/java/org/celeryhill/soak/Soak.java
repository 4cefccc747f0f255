package org.celeryhill.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.disposables.Disposable;
import org.celeryhill.base.SystemTimerService;

/**
 * One run of the soak: starts a site, injects the faults of a schedule while callers send
 * requests, and checks the promises. Used once, by one thread.
 */
final class Soak implements AutoCloseable {

	private static final long POLL_MILLIS = 50;

	private static final Duration MEMORY_PERIOD = Duration.ofMillis(500);

	/** Longer than any caller waits for a response. */
	private static final long CALLER_END_MILLIS = 10_000;

	/** Time in which requests that are still on their way could run. */
	private static final long LATE_RUN_MILLIS = 500;

	private final SoakSettings settings;

	private final Schedule schedule;

	private final SoakClock clock = new SoakClock(SystemTimerService.create());

	private final ViolationLog violations = new ViolationLog(this.clock);

	private final RequestLedger ledger = new RequestLedger(this.violations, this.clock);

	private final CutCheck cuts = new CutCheck(this.violations);

	private final Tally tally = new Tally();

	private final Map<FaultKind, Integer> faults = new EnumMap<>(FaultKind.class);

	private final Site site;

	private volatile boolean isEnding;

	/**
	 * Prepares a run.
	 * @param settings the settings, which are valid, not null
	 * @param folder the existing folder for settings and logs of the daemons, not null
	 * @throws IOException if no port is free or a file cannot be read or written
	 */
	Soak(SoakSettings settings, Path folder) throws IOException {
		this.settings = settings;
		this.schedule = Schedule.draw(settings.seed, settings.durationMillis(), settings.kinds(), settings.processes,
				settings.servers + settings.engines);
		this.site = new Site(settings,
				new SoakContext(settings.seed, this.ledger, this.clock, this.violations, settings.planted), folder);
	}

	Schedule schedule() {
		return this.schedule;
	}

	List<EdgeProcess> daemons() {
		return this.site.fleet().daemons();
	}

	/**
	 * Runs the soak.
	 * @return the result, never null
	 */
	SoakResult run() {
		this.site.start();
		MemoryCheck memory = new MemoryCheck(this.site.fleet(), this.site.context());
		Disposable memoryChecks = this.clock.timer().ticks(MEMORY_PERIOD).subscribe((now) -> memory.run());
		List<Thread> callers = startCallers();
		double start = this.clock.seconds();
		injectFaults();
		awaitRecovery();
		endCallers(callers);
		this.cuts.run();
		memoryChecks.dispose();
		return new SoakResult(this.violations.all(), this.tally.counts(), this.tally.failedConnects(),
				this.ledger.runCount(), this.faults, this.clock.seconds() - start, this.cuts.countReadInStop(),
				memory.maxKilobytes());
	}

	private List<Thread> startCallers() {
		List<Thread> callers = new ArrayList<>();
		for (int i = 0; i < this.settings.processes * this.settings.callers; i++) {
			Caller caller = new Caller(i, this.site, this.tally, this.cuts, () -> this.isEnding);
			callers.add(Threads.start("caller-" + i, caller));
		}
		return callers;
	}

	private boolean isStoppedEarly() {
		return this.settings.isStoppingAtFirst && !this.violations.isEmpty();
	}

	// Begins each fault at its time; those that were begun end in any case.
	private void injectFaults() {
		long startNanos = this.clock.nanos();
		for (FaultStep step : this.schedule.steps()) {
			if (!sleepUntil(startNanos + TimeUnit.MILLISECONDS.toNanos(step.atMillis()))) {
				return;
			}
			this.faults.merge(step.kind(), 1, Integer::sum);
			step.kind().begin(this.site, step);
			this.clock.after(step.millis(), () -> step.kind().end(this.site, step));
		}
		if (this.settings.planted == PlantedFault.HIDDEN_KILL) {
			this.site.fleet().daemon(0).killHidden();
		}
		sleepUntil(startNanos + TimeUnit.MILLISECONDS.toNanos(this.settings.durationMillis()));
	}

	// Returns false if the run ends early.
	private boolean sleepUntil(long nanos) {
		while (this.clock.nanos() < nanos) {
			if (isStoppedEarly()) {
				return false;
			}
			long left = TimeUnit.NANOSECONDS.toMillis(nanos - this.clock.nanos());
			Threads.sleep(Math.max(1, Math.min(POLL_MILLIS, left)));
		}
		return true;
	}

	private void awaitRecovery() {
		long faultEnd = this.clock.nanos();
		// A daemon that was stopped last ends within its grace before it starts again.
		long stopMillis = daemons().stream().anyMatch(EdgeProcess::isStopping) ? Bounds.GRACE_MILLIS : 0;
		long limit = faultEnd + TimeUnit.MILLISECONDS.toNanos(stopMillis + Bounds.RECOVERY_MILLIS);
		while (!isStoppedEarly() && !unrecovered(faultEnd).isEmpty()) {
			if (this.clock.nanos() > limit) {
				this.violations.add(Promise.RECOVER, "no success after the last fault: " + unrecovered(faultEnd));
				return;
			}
			Threads.sleep(POLL_MILLIS);
		}
	}

	private List<String> unrecovered(long sinceNanos) {
		return daemons().stream()
			.map(EdgeProcess::name)
			.filter((name) -> !this.tally.hasSuccessAfter(name, sinceNanos))
			.toList();
	}

	private void endCallers(List<Thread> callers) {
		if (!callers.stream().allMatch(Thread::isAlive)) {
			throw new IllegalStateException("a caller has failed, see its stack trace");
		}
		this.isEnding = true;
		try {
			for (Thread caller : callers) {
				caller.join(CALLER_END_MILLIS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
		Threads.sleep(LATE_RUN_MILLIS);
	}

	@Override
	public void close() {
		this.isEnding = true;
		this.site.close();
	}

}
