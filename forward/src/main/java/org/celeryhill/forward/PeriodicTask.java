package org.celeryhill.forward;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.celeryhill.base.EventLog;

/**
 * Runs tasks at a fixed rate on an event loop. A failure of one run is logged and does
 * not prevent the next one.
 */
public final class PeriodicTask {

	private static final EventLog LOG = EventLog.of(PeriodicTask.class);

	private PeriodicTask() {
	}

	/**
	 * Starts a task that runs until the event loop ends.
	 * @param loop the event loop, not null
	 * @param name names the task in the log, not null
	 * @param periodMillis the time between the starts of two runs in milliseconds,
	 * positive
	 * @param task the task, not null
	 */
	public static void start(EventLoop loop, String name, long periodMillis, Runnable task) {
		loop.scheduleAtFixedRate(() -> run(name, task), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
	}

	private static void run(String name, Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			LOG.warn("periodic_task_failed", "task", name, "cause", ex);
		}
	}

}
