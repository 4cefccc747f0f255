package org.celeryhill.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * What callers and servers have seen of one request. Guarded by its own lock.
 */
final class RequestRecord {

	private final CallerRequest request;

	private final List<Run> runs = new ArrayList<>();

	/** Times and events, for the explanation of a violation. */
	private final List<String> events = new ArrayList<>();

	private int arrivalCount;

	private boolean isServerUnsound;

	private Optional<CallerResponse> response = Optional.empty();

	RequestRecord(CallerRequest request) {
		this.request = request;
	}

	CallerRequest request() {
		return this.request;
	}

	synchronized void addEvent(double seconds, String event) {
		this.events.add(String.format("%.3f %s", seconds, event));
	}

	synchronized int addArrival() {
		return this.arrivalCount++;
	}

	synchronized boolean hasArrived() {
		return this.arrivalCount > 0;
	}

	synchronized void addRun(Run run) {
		this.runs.add(run);
	}

	synchronized List<Run> runs() {
		return List.copyOf(this.runs);
	}

	synchronized void setServerUnsound() {
		this.isServerUnsound = true;
	}

	synchronized boolean isServerUnsound() {
		return this.isServerUnsound;
	}

	synchronized void setResponse(CallerResponse newResponse) {
		this.response = Optional.of(newResponse);
	}

	synchronized Optional<CallerResponse> response() {
		return this.response;
	}

	synchronized String describe() {
		return this.request.id() + " " + this.request.method() + " " + this.request.target() + "; "
				+ String.join("; ", this.events);
	}

}
