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
 * Routes requests of the legacy serving system, which has its own admission: the host
 * with the fewest running attempts of this daemon, at most a fixed number at once, and no
 * host twice for one request. Thread-safe.
 */
final class LegacyRouter implements AttemptRouter {

	/** Time after which a refused caller may try again. */
	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	/** Hosts of the legacy serving system. */
	private final Backends backends;

	/** Runs listeners. */
	private final Executor executor;

	/** Most attempts at once. */
	private final int maxAttempts;

	/** Open requests; guarded by this. */
	private final Map<RequestId, Open> requests = new ConcurrentHashMap<>();

	/** Running attempts; guarded by this. */
	private final Map<AttemptId, BackendServerId> attempts = new ConcurrentHashMap<>();

	LegacyRouter(Backends backends, Executor executor, int maxAttempts) {
		this.backends = Objects.requireNonNull(backends, "backends");
		this.executor = Objects.requireNonNull(executor, "executor");
		this.maxAttempts = maxAttempts;
	}

	@Override
	public Optional<TrafficAction.Refuse> offer(TrafficRequest request, Listener listener) {
		Open open = new Open(listener, ConcurrentHashMap.newKeySet());
		this.requests.put(request.id(), open);
		return send(request, open);
	}

	@Override
	public Optional<TrafficAction.Refuse> retry(TrafficRequest request, AttemptId failed) {
		Open open = this.requests.get(request.id());
		if (open == null) {
			return refuse(request, TrafficAction.Reason.RETRIES_EXHAUSTED);
		}
		return send(request, open);
	}

	private synchronized Optional<TrafficAction.Refuse> send(TrafficRequest request, Open open) {
		if (this.attempts.size() >= this.maxAttempts) {
			return refuse(request, TrafficAction.Reason.QUEUE_FULL);
		}
		List<BackendServerId> hosts = this.backends.legacy(request.service());
		Optional<BackendServerId> host = hosts.stream()
			.filter((id) -> !open.tried().contains(id))
			.min(java.util.Comparator.comparingLong(this::running));
		if (host.isEmpty()) {
			return refuse(request,
					hosts.isEmpty() ? TrafficAction.Reason.NO_BACKEND : TrafficAction.Reason.RETRIES_EXHAUSTED);
		}
		TrafficAction.Send send = new TrafficAction.Send(request.id(), Ids.attempt(), host.get(), false);
		try {
			this.executor.execute(() -> open.listener().onSend(send));
		}
		catch (RejectedExecutionException ex) {
			return refuse(request, TrafficAction.Reason.QUEUE_FULL);
		}
		open.tried().add(send.backend());
		this.attempts.put(send.attempt(), send.backend());
		return Optional.empty();
	}

	private long running(BackendServerId host) {
		return this.attempts.values().stream().filter(host::equals).count();
	}

	private Optional<TrafficAction.Refuse> refuse(TrafficRequest request, TrafficAction.Reason reason) {
		this.requests.remove(request.id());
		return Optional.of(new TrafficAction.Refuse(request.id(), reason, RETRY_AFTER));
	}

	@Override
	public void progress(AttemptId attempt, int tokens) {
		// The legacy system keeps its own account.
	}

	@Override
	public synchronized void finish(AttemptId attempt, AttemptOutcome outcome) {
		this.attempts.remove(attempt);
	}

	@Override
	public void close(RequestId request) {
		this.requests.remove(request);
	}

	int runningAttempts() {
		return this.attempts.size();
	}

	/**
	 * An open request.
	 *
	 * @param listener who is told of decisions
	 * @param tried the hosts that got an attempt
	 */
	private record Open(Listener listener, Set<BackendServerId> tried) {

	}

}
