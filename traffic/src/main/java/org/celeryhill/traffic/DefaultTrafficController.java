package org.celeryhill.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.HostId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.RequestId;
import org.celeryhill.base.ServiceId;
import org.celeryhill.base.UsageTotals;
import org.celeryhill.config.OrganisationParameters;
import org.celeryhill.config.Revision;
import org.celeryhill.config.ServiceTemplate;
import org.celeryhill.port.Engine;

/**
 * Traffic decisions of one entry daemon. The same calls with the same seed give the same
 * decisions. Not thread-safe.
 */
public final class DefaultTrafficController implements TrafficController {

	/** Retries that may be sent in one burst. */
	private static final double RETRY_BURST = 10;

	/** Time between computations of the own share, in nanoseconds. */
	private static final long SHARE_PERIOD = 250_000_000L;

	/** Retry-After when nothing is known about the backlog. */
	private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

	/** Services by id. */
	private final Map<ServiceId, ServicePool> pools = new LinkedHashMap<>();

	/** Services by backend server. */
	private final Map<BackendServerId, ServicePool> poolsByBackend = new HashMap<>();

	/** Requests and attempts. */
	private final RequestTable table = new RequestTable();

	/** Tunables. */
	private final TrafficTunables tunables;

	/** Cached prompt prefixes. */
	private final PrefixIndex prefixes = new PrefixIndex();

	/** Choice of the backend server. */
	private final Router router;

	/** Admission to the queue. */
	private final AdmissionRule admission;

	/** Second attempts. */
	private final HedgeRule hedges;

	/** Budget of the retries. */
	private final TokenBucket retries;

	/** Usage of this daemon and its peers. */
	private final PeerUsage usage;

	/** Decisions kept for explanations. */
	private final DecisionLog log;

	/** Prefix of the attempt ids, unique to the daemon's start. */
	private final String attemptPrefix;

	/** Hash of the host, for its subsets. */
	private final long hostHash;

	/** Attempts so far. */
	private long attemptCount;

	/** Requests so far. */
	private long requestCount;

	/** Part of every limit that this daemon is entitled to. */
	private double share = 1;

	/** When the share was computed, in nanoseconds. */
	private long shareComputed = Long.MIN_VALUE;

	private DefaultTrafficController(HostId host, DataCentre dataCentre, String incarnation, long seed,
			TrafficTunables tunables) {
		this.tunables = tunables;
		this.hostHash = ServicePool.mix(host.value().hashCode());
		this.router = new Router(seed, dataCentre, this.prefixes, tunables.adapterLoadTime().toNanos() / 1e9);
		this.admission = new AdmissionRule(tunables.queueLimit());
		this.hedges = new HedgeRule(tunables.hedgeFraction());
		this.retries = new TokenBucket(tunables.retryFraction(), (tunables.retryFraction() > 0) ? RETRY_BURST : 0);
		this.usage = new PeerUsage(host, dataCentre, incarnation, tunables.maxPeerAge().toNanos());
		this.log = new DecisionLog(tunables.decisionLogSize());
		this.attemptPrefix = host.value() + "." + incarnation + ".";
	}

	/**
	 * Creates a controller without configuration and backend servers.
	 * @param host the host of the daemon, not null
	 * @param dataCentre its data centre, not null
	 * @param incarnation a text that differs at each start of the daemon; it makes
	 * attempt ids and usage totals unique, not null
	 * @param seed the seed of the random choices
	 * @param tunables the tunables, not null
	 * @return the controller, never null
	 */
	public static DefaultTrafficController create(HostId host, DataCentre dataCentre, String incarnation, long seed,
			TrafficTunables tunables) {
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(dataCentre, "dataCentre");
		Objects.requireNonNull(incarnation, "incarnation");
		Objects.requireNonNull(tunables, "tunables");
		return new DefaultTrafficController(host, dataCentre, incarnation, seed, tunables);
	}

	@Override
	public void apply(Revision revision, long now) {
		Objects.requireNonNull(revision, "revision");
		for (ServicePool pool : this.pools.values()) {
			pool.queue.organisations().forEach((one) -> one.allowed = Set.of());
		}
		for (ServiceTemplate template : revision.templates()) {
			pool(template.service()).template = template;
		}
		for (OrganisationParameters parameters : revision.organisations()) {
			ServicePool pool = this.pools.get(parameters.service());
			if (pool != null && pool.template != null) {
				pool.configure(parameters);
			}
		}
	}

	private ServicePool pool(ServiceId service) {
		return this.pools.computeIfAbsent(service, (id) -> new ServicePool(this.tunables, this.hostHash));
	}

	@Override
	public void updateBackend(BackendView view, long now) {
		ServicePool pool = pool(view.service());
		this.poolsByBackend.put(view.id(), pool);
		BackendState backend = pool.observe(view, now);
		release(pool, backend, now);
	}

	@Override
	public void removeBackend(BackendServerId backend) {
		ServicePool pool = this.poolsByBackend.remove(backend);
		if (pool != null) {
			pool.forget(backend);
		}
	}

	@Override
	public void recordCacheEvents(BackendServerId backend, List<Engine.CacheEvent> events) {
		ServicePool pool = this.poolsByBackend.get(backend);
		BackendState state = (pool != null) ? pool.find(backend) : null;
		if (state != null) {
			events.forEach((event) -> this.prefixes.observe(state, event));
		}
	}

	@Override
	public Optional<TrafficAction.Refuse> offer(TrafficRequest request, long now) {
		Objects.requireNonNull(request, "request");
		if (this.table.isKnown(request.id())) {
			throw new IllegalArgumentException("request is already known: " + request.id());
		}
		ServicePool pool = this.pools.get(request.service());
		FlowQueue flow = RequestClassifier.flow(pool, request);
		if (flow == null) {
			return refuse(request.id(), TrafficAction.Reason.NOT_CONFIGURED, DEFAULT_RETRY_AFTER, now);
		}
		if (!pool.backends().iterator().hasNext()) {
			return refuse(request.id(), TrafficAction.Reason.NO_BACKEND, DEFAULT_RETRY_AFTER, now);
		}
		long deadline = request.arrivedNanos() + flow.parent.target.deadline().toNanos();
		PendingRequest pending = new PendingRequest(request, flow, this.requestCount++,
				RequestClassifier.cost(pool, flow, request), deadline);
		Optional<TrafficAction.Reason> reason = this.admission.check(pool, pending, now);
		if (reason.isPresent()) {
			return refuse(request.id(), reason.get(), this.admission.retryAfter(pool, flow.parent, now), now);
		}
		this.table.enqueue(pending, false);
		return Optional.empty();
	}

	private Optional<TrafficAction.Refuse> refuse(RequestId id, TrafficAction.Reason reason, Duration retryAfter,
			long now) {
		this.log.add(id, now, "refuse", reason, retryAfter.toMillis());
		return Optional.of(new TrafficAction.Refuse(id, reason, retryAfter));
	}

	@Override
	public List<TrafficAction> dispatch(long now) {
		List<TrafficAction> actions = new ArrayList<>();
		expire(now, actions);
		updateShare(now);
		for (ServicePool pool : this.pools.values()) {
			dispatch(pool, now, actions);
		}
		hedge(now, actions);
		return actions;
	}

	private void expire(long now, List<TrafficAction> actions) {
		PendingRequest pending = this.table.nextExpired(now);
		while (pending != null) {
			expire(pending, now, actions);
			pending = this.table.nextExpired(now);
		}
	}

	private void expire(PendingRequest pending, long now, List<TrafficAction> actions) {
		ServicePool pool = this.pools.get(pending.request.service());
		ClassQueue queue = pending.flow.parent;
		boolean hasBackend = pool.isReachable(pending.flow.route);
		TrafficAction.Reason reason = hasBackend ? TrafficAction.Reason.DEADLINE : TrafficAction.Reason.NO_BACKEND;
		Duration retryAfter = this.admission.retryAfter(pool, queue, now);
		this.table.dequeue(pending);
		actions.add(refuse(pending.request.id(), reason, retryAfter, now).get());
	}

	private void updateShare(long now) {
		if (this.shareComputed == Long.MIN_VALUE || now - this.shareComputed >= SHARE_PERIOD) {
			this.share = this.usage.share(this::weight, now);
			this.shareComputed = now;
		}
	}

	private double weight(OrganisationId id) {
		double weight = 0;
		for (ServicePool pool : this.pools.values()) {
			OrganisationQueue queue = pool.queue.find(id);
			weight = (queue != null) ? Math.max(weight, queue.weight) : weight;
		}
		return weight;
	}

	private void dispatch(ServicePool pool, long now, List<TrafficAction> actions) {
		FlowQueue flow = pool.queue.next(now);
		while (flow != null) {
			if (flow.parent.organisation.allowed.isEmpty()) {
				actions.add(drop(flow.peek(), now));
			}
			else {
				sendFirst(pool, flow, now, actions);
			}
			flow = pool.queue.next(now);
		}
	}

	private TrafficAction drop(PendingRequest pending, long now) {
		this.table.dequeue(pending);
		return refuse(pending.request.id(), TrafficAction.Reason.NOT_CONFIGURED, DEFAULT_RETRY_AFTER, now).get();
	}

	private void sendFirst(ServicePool pool, FlowQueue flow, long now, List<TrafficAction> actions) {
		Room room = pool.queue.room();
		BackendState backend = null;
		if (!flow.route.isBlocked(room)) {
			backend = this.router.choose(pool, flow.peek(), room, this.share, false, now);
		}
		if (backend == null) {
			flow.block(room);
			return;
		}
		actions.add(send(pool, flow.take(), backend, false, now));
	}

	private TrafficAction.Send send(ServicePool pool, PendingRequest pending, BackendState backend, boolean isHedge,
			long now) {
		AttemptId id = AttemptId.of(this.attemptPrefix + this.attemptCount++);
		int prefill = pool.isPlain() ? 1 : this.router.prefill();
		PendingRequest.Attempt attempt = new PendingRequest.Attempt(id, pending, backend, now,
				this.router.units(backend), prefill);
		this.table.add(attempt);
		if (!pool.isPlain() && pending.flow.route.base != null) {
			backend.expectAdapter(pending.flow.route.model, now);
		}
		account(pool, pending, isHedge, now);
		if (!isHedge) {
			this.hedges.watch(attempt);
		}
		pending.isSent = true;
		RequestId request = pending.request.id();
		this.log.add(request, now, isHedge ? "hedge" : "send", backend.id, this.router.expectedSeconds() * 1e3);
		return new TrafficAction.Send(request, id, backend.id, isHedge);
	}

	private void account(ServicePool pool, PendingRequest pending, boolean isHedge, long now) {
		FlowQueue flow = pending.flow;
		pool.queue.charge(flow, pending.cost);
		pool.sent(flow.priority(), pending.cost, now);
		flow.parent.rate.add(pending.cost, now);
		this.usage.add(flow.parent.key, pending.cost, now);
		if (!pending.isSent && !isHedge) {
			this.retries.deposit();
		}
	}

	private void hedge(long now, List<TrafficAction> actions) {
		PendingRequest.Attempt attempt = this.hedges.nextDue(now);
		while (attempt != null) {
			PendingRequest pending = attempt.pending;
			ServicePool pool = this.pools.get(pending.request.service());
			if (pool.queue.isEmpty() && pending.running == 1) {
				pending.avoid(attempt.backend.id);
				BackendState backend = this.router.choose(pool, pending, Room.FULL, this.share, true, now);
				if (backend != null && this.hedges.take()) {
					pending.isHedged = true;
					actions.add(send(pool, pending, backend, true, now));
				}
			}
			attempt = this.hedges.nextDue(now);
		}
	}

	@Override
	public void progress(AttemptId id, int tokens, long now) {
		PendingRequest.Attempt attempt = this.table.attempt(id);
		if (attempt == null || tokens <= attempt.tokens) {
			return;
		}
		attempt.backend.progress(attempt, tokens);
		if (attempt.tokens > 0) {
			observeSpeed(attempt, tokens, now);
		}
		else {
			attempt.pending.flow.parent.started(now - attempt.sent);
			attempt.backend.firstTokens.observe(now - attempt.sent, now);
			release(this.pools.get(attempt.pending.request.service()), attempt.backend, now);
		}
		attempt.pending.isAnswering = true;
		attempt.tokens = tokens;
		attempt.updated = now;
	}

	private void observeSpeed(PendingRequest.Attempt attempt, int tokens, long now) {
		BackendState backend = attempt.backend;
		double between = (double) (now - attempt.updated) / (tokens - attempt.tokens);
		ServicePool pool = this.pools.get(attempt.pending.request.service());
		double ratio = between / pool.betweenTokensNanos(attempt.pending.flow.priority(), now);
		backend.limit.observe(ratio, backend.load(), now);
	}

	@Override
	public void finish(AttemptId id, AttemptOutcome outcome, long now) {
		PendingRequest.Attempt attempt = this.table.attempt(id);
		if (attempt == null) {
			return;
		}
		RequestId request = attempt.pending.request.id();
		ServicePool pool = this.pools.get(attempt.pending.request.service());
		this.table.end(attempt, outcome);
		OutcomeRule.learn(pool, attempt, outcome, now);
		release(pool, attempt.backend, now);
		this.log.add(request, now, "finish", outcome, (now - attempt.sent) / 1e6);
	}

	private void release(ServicePool pool, BackendState backend, long now) {
		if (pool.template != null && backend.isUsable()) {
			pool.unblock(backend);
		}
	}

	@Override
	public Optional<TrafficAction.Refuse> retry(TrafficRequest request, AttemptId ended, long now) {
		if (this.table.find(request.id()) != null) {
			// Another attempt of the request runs, so its answer can still come.
			return Optional.empty();
		}
		PendingRequest pending = this.table.takeFailed(request.id());
		boolean isRepeatable = pending != null && pending.request.isIdempotent() && request.isIdempotent();
		if (!isRepeatable || !this.retries.take()) {
			return refuse(request.id(), TrafficAction.Reason.RETRIES_EXHAUSTED, DEFAULT_RETRY_AFTER, now);
		}
		return requeue(pending, request, ended, now);
	}

	@Override
	public Optional<TrafficAction.Refuse> reroute(TrafficRequest request, AttemptId ended, long now) {
		PendingRequest pending = this.table.takeFailed(request.id());
		if (pending == null) {
			return refuse(request.id(), TrafficAction.Reason.RETRIES_EXHAUSTED, DEFAULT_RETRY_AFTER, now);
		}
		return requeue(pending, request, ended, now);
	}

	private Optional<TrafficAction.Refuse> requeue(PendingRequest pending, TrafficRequest request, AttemptId ended,
			long now) {
		ServicePool pool = this.pools.get(request.service());
		if (pool.isExhausted(pending)) {
			return refuse(request.id(), TrafficAction.Reason.RETRIES_EXHAUSTED, DEFAULT_RETRY_AFTER, now);
		}
		PendingRequest next = pending.again(request, RequestClassifier.cost(pool, pending.flow, request), now);
		if (now >= next.deadline) {
			return refuse(request.id(), TrafficAction.Reason.DEADLINE,
					this.admission.retryAfter(pool, pending.flow.parent, now), now);
		}
		this.table.enqueue(next, true);
		this.log.add(request.id(), now, "retry", ended, 0);
		return Optional.empty();
	}

	@Override
	public void cancel(RequestId request) {
		this.table.takeFailed(request);
		PendingRequest pending = this.table.find(request);
		if (pending != null && pending.state == PendingRequest.State.QUEUED) {
			this.table.dequeue(pending);
		}
	}

	@Override
	public UsageTotals nextUsageTotals(long now) {
		return this.usage.publish();
	}

	@Override
	public void recordPeerUsage(UsageTotals totals, long now) {
		this.usage.observe(totals, now,
				(key, tokens) -> this.pools.values().forEach((pool) -> pool.queue.chargePeer(key, tokens)));
	}

	@Override
	public List<String> explain(RequestId request) {
		return this.log.explain(Objects.requireNonNull(request, "request"));
	}

	@Override
	public Map<String, Object> dump() {
		Map<String, Object> tree = new LinkedHashMap<>();
		tree.put("share", this.share);
		tree.put("peers", this.usage.peerCount());
		tree.put("retry_permits", this.retries.permits());
		tree.put("attempts", this.table.attemptCount());
		tree.put("requests", this.table.requestCount());
		Map<String, Object> services = new LinkedHashMap<>();
		this.pools.forEach((id, pool) -> services.put(id.value(), StateDump.toTree(pool)));
		tree.put("services", services);
		return tree;
	}

}
