package org.celeryhill.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Check of requests that were cut off after they had been passed on to a server. A cut is
 * excused at the deadline, if the daemon was killed or paused, or if a server failed.
 * Requests that were read but not passed on are only counted. Thread-safe.
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

	/**
	 * Counts the requests that a daemon in a planned stop cut off although it must have
	 * read them, and that it had not passed on. Not judged, as a daemon that gets no
	 * processor time may not have read them.
	 * @return the number of requests
	 */
	synchronized long countReadInStop() {
		return this.cuts.stream()
			.filter((cut) -> cut.isStopping() && !cut.request().hasArrived() && !cut.isAtDeadline())
			.filter((cut) -> cut.endNanos() - cut.sentNanos() > TimeUnit.MILLISECONDS.toNanos(Bounds.LOSS_SLACK_MILLIS))
			.filter((cut) -> !cut.daemon().wasDisturbed(cut.sentNanos(), cut.endNanos()))
			.count();
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
	 * @param isStopping whether the daemon was in a planned stop
	 */
	record Cut(RequestRecord request, EdgeProcess daemon, long sentNanos, long endNanos, int deadlineMillis,
			boolean isStopping) {

		boolean isAtDeadline() {
			return this.endNanos - this.sentNanos >= TimeUnit.MILLISECONDS.toNanos(this.deadlineMillis);
		}

	}

}
