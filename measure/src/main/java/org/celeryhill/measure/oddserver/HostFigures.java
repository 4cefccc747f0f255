package org.celeryhill.measure.oddserver;

import java.util.Map;

/**
 * What the entry host of a run has logged.
 *
 * @param failedEnds the number of requests that ended without an own answer, by status
 * and reason, not null
 * @param failedAttempts the number of failed attempts by cause, not null
 * @param sends the number of requests sent to servers
 * @param secondSends the number of those that were not the first of a request
 * @param sendsOnNewConnections the number of those sent on a new connection
 * @param unexpectedBytes how often the host met bytes that belonged to no request
 * @param waitedSeconds the time that requests have waited for a server, first and further
 * attempts together
 */
record HostFigures(Map<String, Long> failedEnds, Map<String, Long> failedAttempts, long sends, long secondSends,
		long sendsOnNewConnections, long unexpectedBytes, double waitedSeconds) {

	/**
	 * Creates figures with copies of the maps.
	 */
	HostFigures {
		failedEnds = Map.copyOf(failedEnds);
		failedAttempts = Map.copyOf(failedAttempts);
	}

}
