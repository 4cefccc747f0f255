package org.celeryhill.measure.oddserver;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Records which requests the backend servers have run. Thread-safe.
 */
final class RunLedger {

	private final Map<String, List<Run>> runsByRequest = new ConcurrentHashMap<>();

	private final AtomicLong runCount = new AtomicLong();

	/**
	 * Records that a server runs a request.
	 * @param requestId the id of the request
	 * @param kind the kind of its route
	 * @param outcome how the run ends
	 * @return the run
	 */
	Run start(String requestId, RouteKind kind, Outcome outcome) {
		Run run = new Run(this.runCount.incrementAndGet(), requestId, kind, outcome);
		this.runsByRequest.merge(requestId, List.of(run), RunLedger::concat);
		return run;
	}

	private static List<Run> concat(List<Run> first, List<Run> second) {
		List<Run> all = new ArrayList<>(first);
		all.addAll(second);
		return List.copyOf(all);
	}

	List<Run> runsOf(String requestId) {
		return this.runsByRequest.getOrDefault(requestId, List.of());
	}

	/**
	 * Counts the requests that have run more often than their route allows.
	 * @return the number of requests
	 */
	long countExcessiveRuns() {
		return this.runsByRequest.values().stream().filter((runs) -> runs.size() > runs.get(0).kind().maxRuns).count();
	}

	/**
	 * One run of a request.
	 *
	 * @param number the number of the run, unique within the ledger
	 * @param requestId the id of the request
	 * @param kind the kind of its route
	 * @param outcome how it ends
	 */
	record Run(long number, String requestId, RouteKind kind, Outcome outcome) {

		private static final int EVENT_COUNT = 4;

		private static final String PADDING = ".".repeat(120);

		/**
		 * Returns the parts of the body of its answer: the events of a stream, else one.
		 * @return the parts, which differ from those of any other run
		 */
		List<String> bodyParts() {
			String text = "run=" + this.number + " request=" + this.requestId + " status=" + this.outcome.status;
			if (!isStreamed()) {
				return List.of(text + PADDING);
			}
			List<String> events = new ArrayList<>();
			for (int i = 1; i <= EVENT_COUNT; i++) {
				events.add("id: " + i + "\ndata: " + text + "\n\n");
			}
			return events;
		}

		String body() {
			return String.join("", bodyParts());
		}

		boolean isStreamed() {
			return this.kind == RouteKind.STREAM && this.outcome == Outcome.SUCCESS;
		}

	}

}
