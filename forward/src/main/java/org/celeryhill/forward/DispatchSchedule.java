package org.celeryhill.forward;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoop;
import org.celeryhill.base.EventLog;

/**
 * Runs the dispatch of queued requests after events, and from time to time while it
 * depends on the time. Must be used on the event loop.
 */
final class DispatchSchedule {

	private static final EventLog LOG = EventLog.of(DispatchSchedule.class);

	/**
	 * Period of the dispatch when no other event triggers one, while requests are active
	 * and the dispatch depends on the time.
	 */
	private static final long PERIOD_MS = 20;

	private final EventLoop loop;

	private final Runnable dispatch;

	private final BooleanSupplier isTimed;

	private boolean isScheduled;

	private boolean isTimedScheduled;

	/**
	 * Creates a schedule.
	 * @param loop the event loop, not null
	 * @param dispatch sends or refuses the requests whose time has come, not null
	 * @param isTimed returns whether requests wait whose time comes without an event, not
	 * null
	 */
	DispatchSchedule(EventLoop loop, Runnable dispatch, BooleanSupplier isTimed) {
		this.loop = loop;
		this.dispatch = dispatch;
		this.isTimed = isTimed;
	}

	// Runs the dispatch once after the current event.
	void schedule() {
		if (!this.isScheduled) {
			this.isScheduled = true;
			this.loop.execute(this::run);
		}
	}

	// A dispatch follows each event of a request, so that none is missed between the
	// times at which this is found unnecessary.
	private void scheduleTimed() {
		if (!this.isTimedScheduled && this.isTimed.getAsBoolean()) {
			this.isTimedScheduled = true;
			this.loop.schedule(this::runTimed, PERIOD_MS, TimeUnit.MILLISECONDS);
		}
	}

	private void runTimed() {
		this.isTimedScheduled = false;
		run();
	}

	private void run() {
		this.isScheduled = false;
		try {
			this.dispatch.run();
		}
		catch (RuntimeException ex) {
			LOG.warn("dispatch_failed", "cause", ex);
		}
		scheduleTimed();
	}

}
