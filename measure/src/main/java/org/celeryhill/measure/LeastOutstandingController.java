package org.celeryhill.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.HostId;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.RequestId;
import org.celeryhill.base.UsageTotals;
import org.celeryhill.config.ModelSpec;
import org.celeryhill.config.OrganisationParameters;
import org.celeryhill.config.Revision;
import org.celeryhill.port.Engine;
import org.celeryhill.traffic.AttemptOutcome;
import org.celeryhill.traffic.BackendView;
import org.celeryhill.traffic.TrafficAction;
import org.celeryhill.traffic.TrafficController;
import org.celeryhill.traffic.TrafficRequest;

/**
 * Baseline controller, which sends requests in order of arrival, each to the server with
 * the fewest outstanding requests of this host among those that have the model. It
 * ignores classes and organisations and has no limits; a request waits only if there is
 * no server for it. Not thread-safe.
 */
final class LeastOutstandingController implements TrafficController {

	/** Retry-After value of every refusal. */
	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	/** Host of this controller. */
	private final HostId host;

	/** Data centre of the host. */
	private final DataCentre dataCentre;

	/** Known servers by id. */
	private final Map<BackendServerId, BackendView> servers = new LinkedHashMap<>();

	/** Number of outstanding requests of this host by server. */
	private final Map<BackendServerId, Integer> outstanding = new HashMap<>();

	/** Server of each running attempt. */
	private final Map<AttemptId, BackendServerId> attempts = new HashMap<>();

	/** Ends of the pauses that servers have asked for, in nanoseconds. */
	private final Map<BackendServerId, Long> pausedUntilNanos = new HashMap<>();

	/** Waiting requests, in order of arrival. */
	private final Map<RequestId, TrafficRequest> waiting = new LinkedHashMap<>();

	/** Base model of each adapter. */
	private final Map<ModelId, ModelId> bases = new HashMap<>();

	/** Current configuration. */
	private Revision revision = Revision.EMPTY;

	/** Number of attempts so far. */
	private long attemptCount;

	LeastOutstandingController(HostId host, DataCentre dataCentre) {
		this.host = host;
		this.dataCentre = dataCentre;
	}

	@Override
	public void apply(Revision next, long now) {
		this.revision = next;
		for (OrganisationParameters parameters : next.organisations()) {
			for (ModelSpec spec : parameters.models()) {
				spec.base().ifPresent((base) -> this.bases.put(spec.id(), base));
			}
		}
	}

	@Override
	public void updateBackend(BackendView view, long now) {
		this.servers.put(view.id(), view);
	}

	@Override
	public void removeBackend(BackendServerId backend) {
		this.servers.remove(backend);
	}

	@Override
	public void pauseBackend(BackendServerId backend, Duration pause, long now) {
		this.pausedUntilNanos.merge(backend, now + pause.toNanos(), Math::max);
	}

	@Override
	public void recordCacheEvents(BackendServerId backend, List<Engine.CacheEvent> events) {
	}

	@Override
	public Optional<TrafficAction.Refuse> offer(TrafficRequest request, long now) {
		this.waiting.put(request.id(), request);
		return Optional.empty();
	}

	@Override
	public List<TrafficAction> dispatch(long now) {
		List<TrafficAction> actions = new ArrayList<>();
		for (TrafficRequest request : List.copyOf(this.waiting.values())) {
			BackendServerId server = chooseServer(request, now);
			if (server != null) {
				actions.add(send(request, server));
			}
			else if (now >= deadline(request)) {
				actions.add(new TrafficAction.Refuse(request.id(), TrafficAction.Reason.NO_BACKEND, RETRY_AFTER));
			}
		}
		actions.forEach((action) -> this.waiting.remove(action.request()));
		return actions;
	}

	private long deadline(TrafficRequest request) {
		return request.arrivedNanos() + this.revision.findTemplate(request.service())
			.orElseThrow()
			.classes()
			.get(request.priority())
			.deadline()
			.toNanos();
	}

	private BackendServerId chooseServer(TrafficRequest request, long now) {
		BackendServerId best = null;
		int least = Integer.MAX_VALUE;
		for (BackendView view : this.servers.values()) {
			if (this.pausedUntilNanos.getOrDefault(view.id(), now) > now || !isCandidate(view, request)) {
				continue;
			}
			int count = this.outstanding.getOrDefault(view.id(), 0);
			if (count < least) {
				best = view.id();
				least = count;
			}
		}
		return best;
	}

	private boolean isCandidate(BackendView view, TrafficRequest request) {
		if (!view.service().equals(request.service()) || !view.isReachable() || view.isLeaving()) {
			return false;
		}
		if (view.report().isEmpty()) {
			return this.outstanding.getOrDefault(view.id(), 0) + Math.max(0, view.running()) < view.capacity();
		}
		ModelId model = request.model().orElseThrow();
		return !view.report().get().isLeaving() && view.report().get().isReady(this.bases.getOrDefault(model, model));
	}

	private TrafficAction.Send send(TrafficRequest request, BackendServerId server) {
		AttemptId attempt = AttemptId.of(this.host.value() + "." + this.attemptCount++);
		this.attempts.put(attempt, server);
		this.outstanding.merge(server, 1, Integer::sum);
		return new TrafficAction.Send(request.id(), attempt, server, false);
	}

	@Override
	public void progress(AttemptId attempt, int tokens, long now) {
	}

	@Override
	public void finish(AttemptId attempt, AttemptOutcome outcome, long now) {
		BackendServerId server = this.attempts.remove(attempt);
		if (server != null) {
			this.outstanding.merge(server, -1, Integer::sum);
			if (outcome.isBackendFailure()) {
				this.servers.remove(server);
			}
		}
	}

	@Override
	public Optional<TrafficAction.Refuse> retry(TrafficRequest request, AttemptId failed, long now) {
		if (!request.isIdempotent()) {
			return Optional
				.of(new TrafficAction.Refuse(request.id(), TrafficAction.Reason.RETRIES_EXHAUSTED, RETRY_AFTER));
		}
		this.waiting.put(request.id(), request);
		return Optional.empty();
	}

	@Override
	public Optional<TrafficAction.Refuse> reroute(TrafficRequest request, AttemptId failed, long now) {
		return retry(request, failed, now);
	}

	@Override
	public void cancel(RequestId request) {
		this.waiting.remove(request);
	}

	@Override
	public UsageTotals nextUsageTotals(long now) {
		return new UsageTotals(this.host, this.dataCentre, "1", 1, Map.of());
	}

	@Override
	public void recordPeerUsage(UsageTotals totals, long now) {
	}

	@Override
	public void recordGroupUsage(UsageTotals totals, int daemons, long now) {
		// No limits are shared with other daemons.
	}

	@Override
	public List<String> explain(RequestId request) {
		return List.of();
	}

	@Override
	public Map<String, Object> dump() {
		return Map.of("waiting", this.waiting.size());
	}

}
