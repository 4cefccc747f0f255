package org.celeryhill.measure.oddserver;

import java.util.Map;

/**
 * Figures of the run of one share.
 *
 * @param share the share of odd answers in 100
 * @param seconds the length of the run
 * @param requests the number of requests of the callers
 * @param answers the number of answers by kind, not null
 * @param latencyP50 the median latency of own answers in ms
 * @param latencyP99 the 99th percentile of it in ms
 * @param host what the entry host has logged, not null
 * @param sendsWithExtraBytes the number of sends before whose response a server sent
 * bytes on their connection that belonged to no request
 * @param connections the number of connections that the servers accepted
 * @param oddAnswers the number of odd answers
 * @param suspicions how often the host left a server out
 * @param leftOut the time of servers that were left out, relative to that of all servers
 * @param waited the time for which requests waited for a server, relative to that of all
 * callers
 * @param answering the time for which callers waited for answers, relative to that of all
 * callers
 * @param violations the number of broken promises, by promise, not null
 * @param loadAverage the load average of the machine at the end, negative if unknown
 */
record ShareFigures(double share, double seconds, long requests, Map<Answer, Long> answers, double latencyP50,
		double latencyP99, HostFigures host, long sendsWithExtraBytes, long connections, long oddAnswers,
		long suspicions, double leftOut, double waited, double answering, Map<String, Long> violations,
		double loadAverage) {

	private static final double PERCENT = 100;

	private static final double PER_THOUSAND = 1000;

	/**
	 * Creates figures with copies of the maps.
	 */
	ShareFigures {
		answers = Map.copyOf(answers);
		violations = Map.copyOf(violations);
	}

	double ownPerSecond() {
		return this.answers.get(Answer.OWN) / this.seconds;
	}

	/**
	 * Returns the share of an answer.
	 * @param answer the kind of answer
	 * @return its share in 100 requests
	 */
	double percent(Answer answer) {
		return PERCENT * this.answers.get(answer) / Math.max(1, this.requests);
	}

	/**
	 * Relates a count to the requests.
	 * @param count the count
	 * @return the count for 1000 requests
	 */
	double perThousand(long count) {
		return PER_THOUSAND * count / Math.max(1, this.requests);
	}

	boolean isViolated() {
		return this.violations.values().stream().anyMatch((count) -> count > 0);
	}

}
