package org.celeryhill.entry;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.RequestId;
import org.celeryhill.traffic.AttemptOutcome;
import org.celeryhill.traffic.TrafficAction;
import org.celeryhill.traffic.TrafficRequest;

/**
 * Routes requests to the legacy serving system, which has its own admission. An attempt
 * is sent to the host with the fewest running attempts of this daemon. The number of
 * running attempts is limited, and a request is sent to each host at most once.
 * Thread-safe.
 */
final class LegacyRouter implements AttemptRouter {

	/** Value of {@code Retry-After} for refused requests. */
	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	/** Registry with the hosts of the legacy serving system. */
	private final BackendRegistry backends;

	/** Executor that calls the listeners. */
	private final Executor executor;

	/** Maximum number of running attempts. */
	private final int maxAttempts;

	/** Open requests by id. */
	private final Map<RequestId, OpenRequest> openRequests = new ConcurrentHashMap<>();

	/**
	 * Hosts of the running attempts; only modified under the lock of this object.
	 */
	private final Map<AttemptId, BackendServerId> attemptHosts = new ConcurrentHashMap<>();

	LegacyRouter(BackendRegistry backends, Executor executor, int maxAttempts) {
		this.backends = Objects.requireNonNull(backends, "backends");
		this.executor = Objects.requireNonNull(executor, "executor");
		this.maxAttempts = maxAttempts;
	}

	@Override
	public Optional<TrafficAction.Refuse> admit(TrafficRequest request, Listener listener) {
		OpenRequest open = new OpenRequest(listener, ConcurrentHashMap.newKeySet());
		this.openRequests.put(request.id(), open);
		return sendAttempt(request, open);
	}

	@Override
	public Optional<TrafficAction.Refuse> retry(TrafficRequest request, AttemptId failed) {
		OpenRequest open = this.openRequests.get(request.id());
		if (open == null) {
			return refuse(request, TrafficAction.Reason.RETRIES_EXHAUSTED);
		}
		return sendAttempt(request, open);
	}

	private synchronized Optional<TrafficAction.Refuse> sendAttempt(TrafficRequest request, OpenRequest open) {
		if (this.attemptHosts.size() >= this.maxAttempts) {
			return refuse(request, TrafficAction.Reason.QUEUE_FULL);
		}
		List<BackendServerId> hosts = this.backends.legacyHosts(request.service());
		Optional<BackendServerId> host = hosts.stream()
			.filter((id) -> !open.triedHosts().contains(id))
			.min(java.util.Comparator.comparingLong(this::running));
		if (host.isEmpty()) {
			return refuse(request,
					hosts.isEmpty() ? TrafficAction.Reason.NO_BACKEND : TrafficAction.Reason.RETRIES_EXHAUSTED);
		}
		TrafficAction.Send send = new TrafficAction.Send(request.id(), RandomIds.attempt(), host.get(), false);
		try {
			this.executor.execute(() -> open.listener().onSend(send));
		}
		catch (RejectedExecutionException ex) {
			return refuse(request, TrafficAction.Reason.QUEUE_FULL);
		}
		open.triedHosts().add(send.backend());
		this.attemptHosts.put(send.attempt(), send.backend());
		return Optional.empty();
	}

	private long running(BackendServerId host) {
		return this.attemptHosts.values().stream().filter(host::equals).count();
	}

	private Optional<TrafficAction.Refuse> refuse(TrafficRequest request, TrafficAction.Reason reason) {
		this.openRequests.remove(request.id());
		return Optional.of(new TrafficAction.Refuse(request.id(), reason, RETRY_AFTER));
	}

	@Override
	public void progress(AttemptId attempt, int tokens) {
		// The legacy system accounts for tokens itself.
	}

	@Override
	public synchronized void finishAttempt(AttemptId attempt, AttemptOutcome outcome) {
		this.attemptHosts.remove(attempt);
	}

	@Override
	public void closeRequest(RequestId request) {
		this.openRequests.remove(request);
	}

	int runningAttemptCount() {
		return this.attemptHosts.size();
	}

	/**
	 * An admitted request that has not ended.
	 *
	 * @param listener the listener of the request
	 * @param triedHosts the hosts to which an attempt was sent
	 */
	private record OpenRequest(Listener listener, Set<BackendServerId> triedHosts) {

	}

}
