package org.celeryhill.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Check of requests that were cut off after they had been passed on to a server. A cut is
 * excused at the deadline, if the daemon was killed or paused, or if a server failed.
 * Requests that were read but not passed on are not checked. Thread-safe.
 */
final class CutCheck {

	private final List<Cut> cuts = new ArrayList<>();

	private final ViolationLog violations;

	CutCheck(ViolationLog violations) {
		this.violations = violations;
	}

	synchronized void add(Cut cut) {
		this.cuts.add(cut);
	}

	/**
	 * Checks all cuts, after the last request has ended at its server.
	 */
	synchronized void run() {
		int unplanned = 0;
		for (Cut cut : this.cuts) {
			if (isExcused(cut)) {
				continue;
			}
			unplanned += cut.isStopping() ? 0 : 1;
			if (cut.isStopping() || unplanned > Bounds.UNPLANNED_CUTS) {
				String text = cut.isStopping() ? "cut off in a planned stop" : "cut off";
				this.violations.add(Promise.LOST, text, cut.request());
			}
		}
	}

	private static boolean isExcused(Cut cut) {
		return cut.isAtDeadline() || !cut.request().hasArrived() || cut.request().isServerUnsound()
				|| cut.daemon().wasDisturbed(cut.sentNanos(), cut.endNanos());
	}

	/**
	 * Request whose connection ended without a whole response. Immutable.
	 *
	 * @param request the record of the request, not null
	 * @param daemon the daemon that it was sent to, not null
	 * @param sentNanos the time at which it was sent
	 * @param endNanos the time at which the connection ended
	 * @param deadlineMillis its deadline, in milliseconds after it was sent
	 * @param isStopping whether the daemon had got SIGTERM
	 */
	record Cut(RequestRecord request, EdgeProcess daemon, long sentNanos, long endNanos, int deadlineMillis,
			boolean isStopping) {

		boolean isAtDeadline() {
			return this.endNanos - this.sentNanos >= TimeUnit.MILLISECONDS.toNanos(this.deadlineMillis);
		}

	}

}
