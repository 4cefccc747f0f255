package org.celeryhill.soak;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requests as callers and servers see them, and the checks of each single request.
 * Thread-safe.
 */
final class RequestLedger {

	/** Requests that may be denied, besides a share of all requests. */
	private static final int DENIAL_SLACK = 5;

	private static final int REQUESTS_PER_DENIAL = 500;

	private final Map<String, RequestRecord> records = new ConcurrentHashMap<>();

	private final AtomicInteger runCount = new AtomicInteger();

	private final AtomicInteger denialCount = new AtomicInteger();

	private final ViolationLog violations;

	private final SoakClock clock;

	RequestLedger(ViolationLog violations, SoakClock clock) {
		this.violations = violations;
		this.clock = clock;
	}

	int runCount() {
		return this.runCount.get();
	}

	/**
	 * Records a request before its first byte is sent.
	 * @param request the request, not null
	 * @param daemon the daemon that it is sent to, not null
	 * @return the record, never null
	 */
	RequestRecord send(CallerRequest request, String daemon) {
		RequestRecord sent = new RequestRecord(request);
		sent.addEvent(this.clock.seconds(), "sent to " + daemon);
		this.records.put(request.id(), sent);
		return sent;
	}

	/**
	 * Finds the record of a request that a server has read.
	 * @param id the id that came with it, not null
	 * @return the record, empty if no caller has sent a request with this id
	 */
	Optional<RequestRecord> find(String id) {
		return Optional.ofNullable(this.records.get(id));
	}

	/**
	 * Records that a server starts to run a request, and checks whether it may.
	 * @param read the request as the server has read it, not null
	 * @param run the run, not null
	 */
	void addRun(CallerRequest read, Run run) {
		this.runCount.incrementAndGet();
		RequestRecord known = this.records.get(read.id());
		if (known == null) {
			this.violations.add(Promise.UNASKED, "no caller sent " + read + ", run at " + run);
			return;
		}
		known.addEvent(this.clock.seconds(), "runs at " + run);
		known.addRun(run);
		if (!known.request().hasSameContent(read)) {
			this.violations.add(Promise.UNASKED, "run as " + read, known);
		}
		if (!known.request().kind().isRepeatable() && known.runs().size() > 1) {
			this.violations.add(Promise.TWICE, "run again", known);
		}
		if (known.response().map(CallerResponse::isRefusal).orElse(false)) {
			this.violations.add(Promise.REFUSED, "runs after it was refused", known);
		}
	}

	/**
	 * Records the response to a request, and checks it.
	 * @param known the record of the request, not null
	 * @param response the response, not null
	 */
	void addResponse(RequestRecord known, CallerResponse response) {
		known.addEvent(this.clock.seconds(), "answered with " + response);
		known.setResponse(response);
		if (response.isSuccess() || !response.signature().isEmpty()) {
			checkOrigin(known, response);
		}
		if (response.isRefusal() && !known.runs().isEmpty()) {
			this.violations.add(Promise.REFUSED, "refused after it has run", known);
		}
		if (response.isDenial()) {
			checkDenials(known);
		}
	}

	// Events are checked as they come, and a stream goes on under the signature of its
	// first run.
	private void checkOrigin(RequestRecord known, CallerResponse response) {
		Optional<Run> origin = known.runs()
			.stream()
			.filter((run) -> run.signature().equals(response.signature()))
			.findFirst();
		boolean isUnchanged = origin.isPresent() && origin.get().status() == response.status()
				&& (known.request().kind().isStream() || origin.get().body().equals(response.body()));
		if (!isUnchanged) {
			this.violations.add(Promise.MIXED, "not the response of a run of this request", known);
		}
	}

	private void checkDenials(RequestRecord known) {
		int allowed = DENIAL_SLACK + this.records.size() / REQUESTS_PER_DENIAL;
		if (this.denialCount.incrementAndGet() > allowed) {
			this.violations.add(Promise.DENIED, "rejected as wrong", known);
		}
	}

}
