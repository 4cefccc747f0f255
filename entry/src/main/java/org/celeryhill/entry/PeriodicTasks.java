package org.celeryhill.entry;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;

import io.reactivex.rxjava3.disposables.CompositeDisposable;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.TimerService;

/**
 * Runs tasks periodically on worker threads. A task that still runs when its next start
 * is due skips that start. Thread-safe.
 */
final class PeriodicTasks implements AutoCloseable {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(PeriodicTasks.class);

	/** Timers. */
	private final TimerService timer;

	/** Executor of the tasks. */
	private final Executor workers;

	/** Timer subscriptions of all tasks. */
	private final CompositeDisposable subscriptions = new CompositeDisposable();

	PeriodicTasks(TimerService timer, Executor workers) {
		this.timer = Objects.requireNonNull(timer, "timer");
		this.workers = Objects.requireNonNull(workers, "workers");
	}

	/**
	 * Runs a task now and then periodically. An exception is logged and does not stop
	 * later runs.
	 * @param name the name of the task in logs, not null
	 * @param period the time between two starts, not null
	 * @param task the task to run, may block, not null
	 */
	void schedule(String name, Duration period, Runnable task) {
		AtomicBoolean isRunning = new AtomicBoolean();
		submit(name, task, isRunning);
		this.subscriptions.add(this.timer.ticks(period).subscribe((now) -> submit(name, task, isRunning)));
	}

	private void submit(String name, Runnable task, AtomicBoolean isRunning) {
		if (!isRunning.compareAndSet(false, true)) {
			return;
		}
		try {
			this.workers.execute(() -> run(name, task, isRunning));
		}
		catch (RejectedExecutionException ex) {
			isRunning.set(false);
		}
	}

	private static void run(String name, Runnable task, AtomicBoolean isRunning) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			LOG.warn("task_failed", "task", name, "fault", ex);
		}
		finally {
			isRunning.set(false);
		}
	}

	@Override
	public void close() {
		this.subscriptions.dispose();
	}

}
