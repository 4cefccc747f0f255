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
 * Traffic controller that queues requests fairly by organisation and priority class. It
 * is deterministic: the same calls with the same seed give the same decisions. Not
 * thread-safe.
 */
public final class DefaultTrafficController implements TrafficController {

	/** Largest number of retries that may be sent in one burst. */
	private static final double RETRY_BURST = 10;

	/**
	 * Retries in one burst while the number of the daemons that share them is unknown.
	 */
	private static final double MIN_RETRY_BURST = 1;

	/** Time between updates of the share of this daemon, in nanoseconds. */
	private static final long SHARE_UPDATE_INTERVAL_NANOS = 250_000_000L;

	/**
	 * A request waits for the end of a pause only if the pause is at most this part of
	 * the time until its deadline, written as a divisor.
	 */
	private static final int MIN_DEADLINE_PAUSES = 3;

	/**
	 * Time from the arrival to the send above which a request has waited for room, in
	 * nanoseconds.
	 */
	private static final long MIN_WAIT_NANOS = 50_000_000L;

	/** Services by id. */
	private final Map<ServiceId, ServicePool> pools = new LinkedHashMap<>();

	/** Services by backend server. */
	private final Map<BackendServerId, ServicePool> poolsByBackend = new HashMap<>();

	/** Waiting requests, running attempts and requests that may be retried. */
	private final RequestTable table = new RequestTable();

	/** Parameters of the deployment. */
	private final TrafficTunables tunables;

	/** Cached prompt prefixes of the engines. */
	private final PrefixIndex prefixIndex = new PrefixIndex();

	/** Selects the backend server of an attempt. */
	private final Router router;

	/** Admits requests to their queues and refuses them. */
	private final AdmissionControl admission;

	/** Decides which running requests get a second attempt. */
	private final HedgePolicy hedgePolicy;

	/** Budget of retries. */
	private final TokenBucket retryBudget;

	/** Usage of this daemon and of the other entry daemons. */
	private final UsageTracker usage;

	/** Decisions kept for explanations. */
	private final DecisionLog decisionLog;

	/** Prefix of attempt ids, unique to this incarnation of the daemon. */
	private final String attemptPrefix;

	/** Hash of the host, which selects the daemon's subset of backend servers. */
	private final long hostHash;

	/** Data centre of the daemon. */
	private final DataCentre dataCentre;

	/** Receives the begin and end of each suspicion of a backend server. */
	private final AvailabilityListener availabilityListener;

	/** Number of attempts created, used for attempt ids. */
	private long attemptCount;

	/** Fraction of every limit that this daemon is entitled to. */
	private double share = 1;

	/** When the share was last updated, in nanoseconds. */
	private long shareUpdatedNanos = Long.MIN_VALUE;

	/** Time of the latest dispatch, in nanoseconds. */
	private long dispatchedNanos;

	private DefaultTrafficController(HostId host, DataCentre dataCentre, String incarnation, long seed,
			TrafficTunables tunables, AvailabilityListener availabilityListener) {
		this.tunables = tunables;
		this.availabilityListener = availabilityListener;
		this.dataCentre = dataCentre;
		this.hostHash = ServicePool.mixBits(host.value().hashCode());
		this.router = new Router(seed, dataCentre, this.prefixIndex, tunables.adapterLoadTime().toNanos() / 1e9);
		this.hedgePolicy = new HedgePolicy(tunables.hedgeFraction());
		this.retryBudget = new TokenBucket(tunables.retryFraction(), initialRetryBurst(tunables));
		this.usage = new UsageTracker(host, dataCentre, incarnation, tunables.maxPeerAge().toNanos());
		this.decisionLog = new DecisionLog(tunables.decisionLogSize());
		this.admission = new AdmissionControl(tunables, this.pools, this.table, this.decisionLog);
		this.attemptPrefix = host.value() + "." + incarnation + ".";
	}

	/**
	 * Creates a controller without configuration and backend servers.
	 * @param host the host of the daemon, not null
	 * @param dataCentre the data centre of the daemon, not null
	 * @param incarnation a text that differs at each start of the daemon; it makes
	 * attempt ids and usage totals unique, not null
	 * @param seed the seed of the random choices
	 * @param tunables the parameters of the deployment, not null
	 * @return the controller, never null
	 */
	public static DefaultTrafficController create(HostId host, DataCentre dataCentre, String incarnation, long seed,
			TrafficTunables tunables) {
		return create(host, dataCentre, incarnation, seed, tunables, AvailabilityListener.NONE);
	}

	/**
	 * Creates a controller that reports which backend servers are suspect.
	 * @param host the host of the daemon, not null
	 * @param dataCentre the data centre of the daemon, not null
	 * @param incarnation a text that differs at each start of the daemon, not null
	 * @param seed the seed of the random choices
	 * @param tunables the parameters of the deployment, not null
	 * @param availabilityListener receives the begin and end of each suspicion, not null
	 * @return the controller, never null
	 */
	public static DefaultTrafficController create(HostId host, DataCentre dataCentre, String incarnation, long seed,
			TrafficTunables tunables, AvailabilityListener availabilityListener) {
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(dataCentre, "dataCentre");
		Objects.requireNonNull(incarnation, "incarnation");
		Objects.requireNonNull(tunables, "tunables");
		Objects.requireNonNull(availabilityListener, "availabilityListener");
		return new DefaultTrafficController(host, dataCentre, incarnation, seed, tunables, availabilityListener);
	}

	@Override
	public void apply(Revision revision, long now) {
		Objects.requireNonNull(revision, "revision");
		for (ServicePool pool : this.pools.values()) {
			pool.queue.organisations().forEach((organisation) -> organisation.allowedClasses = Set.of());
		}
		for (ServiceTemplate template : revision.templates()) {
			getOrCreatePool(template.service()).template = template;
		}
		for (OrganisationParameters parameters : revision.organisations()) {
			ServicePool pool = this.pools.get(parameters.service());
			if (pool != null && pool.template != null) {
				pool.configureOrganisation(parameters);
			}
		}
	}

	private ServicePool getOrCreatePool(ServiceId service) {
		return this.pools.computeIfAbsent(service,
				(id) -> new ServicePool(this.tunables, this.hostHash, this.dataCentre, this.availabilityListener));
	}

	@Override
	public void updateBackend(BackendView view, long now) {
		ServicePool pool = getOrCreatePool(view.service());
		this.poolsByBackend.put(view.id(), pool);
		BackendState backend = pool.updateBackend(view, now);
		unblockIfUsable(pool, backend, now);
	}

	@Override
	public void removeBackend(BackendServerId backend) {
		ServicePool pool = this.poolsByBackend.remove(backend);
		if (pool != null) {
			pool.removeBackend(backend);
		}
	}

	@Override
	public void pauseBackend(BackendServerId backend, Duration pause, long now) {
		ServicePool pool = this.poolsByBackend.get(backend);
		BackendState state = (pool != null) ? pool.findBackend(backend) : null;
		if (state != null) {
			pool.pause(state, pause, now);
			if (pool.template != null) {
				// Waiting requests that no other server can take are refused.
				pool.unblock(state);
			}
		}
	}

	@Override
	public void recordCacheEvents(BackendServerId backend, List<Engine.CacheEvent> events) {
		ServicePool pool = this.poolsByBackend.get(backend);
		BackendState state = (pool != null) ? pool.findBackend(backend) : null;
		if (state != null) {
			events.forEach((event) -> this.prefixIndex.applyEvent(state, event));
		}
	}

	@Override
	public void setModelForecast(ModelForecast forecast) {
		this.admission.waitPolicy().setForecast(Objects.requireNonNull(forecast, "forecast"));
	}

	@Override
	public Optional<TrafficAction.Refuse> offer(TrafficRequest request, long now) {
		Objects.requireNonNull(request, "request");
		if (this.table.isKnown(request.id())) {
			throw new IllegalArgumentException("request is already known: " + request.id());
		}
		return this.admission.offer(request, now);
	}

	@Override
	public List<TrafficAction> dispatch(long now) {
		List<TrafficAction> actions = new ArrayList<>();
		this.dispatchedNanos = now;
		this.admission.refuseDue(now, actions);
		updateShare(now);
		for (ServicePool pool : this.pools.values()) {
			pool.readmitDue(now).forEach((backend) -> unblockIfUsable(pool, backend, now));
			pool.resumeDue(now).forEach((backend) -> unblockIfUsable(pool, backend, now));
			dispatch(pool, now, actions);
		}
		sendHedges(now, actions);
		return actions;
	}

	@Override
	public boolean isDispatchTimed() {
		if (this.tunables.hedgeFraction() > 0) {
			return true;
		}
		for (ServicePool pool : this.pools.values()) {
			if (pool.isDispatchTimed()) {
				return true;
			}
		}
		return false;
	}

	private void updateShare(long now) {
		if (this.shareUpdatedNanos == Long.MIN_VALUE || now - this.shareUpdatedNanos >= SHARE_UPDATE_INTERVAL_NANOS) {
			this.share = this.usage.share(this::weight, now);
			if (this.tunables.sharesByNeed()) {
				this.pools.values().forEach((pool) -> pool.queue.updateWeights(now));
			}
			this.shareUpdatedNanos = now;
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
		FlowQueue flow = pool.queue.selectNext(now);
		while (flow != null) {
			if (flow.classQueue.organisation.allowedClasses.isEmpty()) {
				actions.add(this.admission.refuseWaiting(flow.peek(), TrafficAction.Reason.NOT_CONFIGURED,
						AdmissionControl.DEFAULT_RETRY_AFTER, now));
			}
			else {
				sendNext(pool, flow, now, actions);
			}
			flow = pool.queue.selectNext(now);
		}
	}

	// Returns whether a request should not wait until a server ends its pause. One that
	// was sent before would not be sent to that server again.
	private static boolean isTooLate(PendingRequest pending, Duration pause, long now) {
		return pending.wasSent || pause.multipliedBy(MIN_DEADLINE_PAUSES).toNanos() > pending.deadline - now;
	}

	private void sendNext(ServicePool pool, FlowQueue flow, long now, List<TrafficAction> actions) {
		CapacityTier tier = pool.queue.tier();
		BackendState backend = null;
		if (!flow.route.isBlocked(tier)) {
			backend = this.router.select(pool, flow.peek(), tier, this.share, false, now);
		}
		if (backend == null) {
			Optional<Duration> pause = pool.timeUntilResumed(flow.route, now);
			if (pause.isPresent() && isTooLate(flow.peek(), pause.get(), now)) {
				actions
					.add(this.admission.refuseWaiting(flow.peek(), TrafficAction.Reason.NO_BACKEND, pause.get(), now));
			}
			else {
				flow.block(tier);
			}
			return;
		}
		actions.add(send(pool, flow.pollForSend(), backend, false, now));
	}

	private TrafficAction.Send send(ServicePool pool, PendingRequest pending, BackendState backend, boolean isHedge,
			long now) {
		AttemptId id = AttemptId.of(this.attemptPrefix + this.attemptCount++);
		int prefill = pool.isPlain() ? 1 : this.router.prefillTokens();
		PendingRequest.Attempt attempt = new PendingRequest.Attempt(id, pending, backend, now,
				this.router.requiredUnits(backend), prefill);
		this.table.addAttempt(attempt);
		if (!pool.isPlain() && pending.flow.route.base != null) {
			backend.assumeAdapterLoaded(pending.flow.route.model, now);
		}
		recordSend(pool, pending, isHedge, now);
		if (!isHedge) {
			this.hedgePolicy.watch(attempt);
		}
		pending.wasSent = true;
		RequestId request = pending.request.id();
		this.decisionLog.record(request, now, isHedge ? "hedge" : "send", backend.id,
				this.router.expectedFirstTokenSeconds() * 1e3);
		return new TrafficAction.Send(request, id, backend.id, isHedge);
	}

	private void recordSend(ServicePool pool, PendingRequest pending, boolean isHedge, long now) {
		FlowQueue flow = pending.flow;
		if (now - pending.request.arrivedNanos() >= MIN_WAIT_NANOS) {
			flow.route.backlog.recordSendAfterWait(now);
		}
		pool.queue.charge(flow, pending.engineTime);
		pool.recordSend(flow.priority(), pending.cost, now);
		flow.classQueue.rate.add(pending.cost, now);
		this.usage.addOwnUsage(flow.classQueue.key, pending.engineTime, now);
		if (!pending.wasSent && !isHedge) {
			this.retryBudget.deposit();
		}
	}

	private void sendHedges(long now, List<TrafficAction> actions) {
		PendingRequest.Attempt attempt = this.hedgePolicy.pollDue(now);
		while (attempt != null) {
			PendingRequest pending = attempt.pending;
			ServicePool pool = this.pools.get(pending.request.service());
			if (pool.queue.isEmpty() && pending.running == 1) {
				pending.avoid(attempt.backend.id);
				BackendState backend = this.router.select(pool, pending, CapacityTier.FULL, this.share, true, now);
				if (backend != null && this.hedgePolicy.tryAcquire()) {
					pending.isHedged = true;
					actions.add(send(pool, pending, backend, true, now));
				}
			}
			attempt = this.hedgePolicy.pollDue(now);
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
			updateConcurrencyLimit(attempt, tokens, now);
		}
		else {
			attempt.pending.flow.classQueue.recordFirstToken(now - attempt.sentNanos);
			attempt.backend.prefillQueueLimit.recordWait(now - attempt.sentNanos, now);
			attempt.backend.recordTime(attempt, now);
			unblockIfUsable(this.pools.get(attempt.pending.request.service()), attempt.backend, now);
		}
		attempt.pending.hasOutputTokens = true;
		attempt.tokens = tokens;
		attempt.lastTokenNanos = now;
	}

	private void updateConcurrencyLimit(PendingRequest.Attempt attempt, int tokens, long now) {
		BackendState backend = attempt.backend;
		double nanosPerToken = (double) (now - attempt.lastTokenNanos) / (tokens - attempt.tokens);
		ServicePool pool = this.pools.get(attempt.pending.request.service());
		double ratio = nanosPerToken / pool.betweenTokensTargetNanos(attempt.pending.flow.priority(), now);
		backend.concurrencyLimit.addSample(ratio, backend.load(), now);
	}

	@Override
	public void finish(AttemptId id, AttemptOutcome outcome, long now) {
		PendingRequest.Attempt attempt = this.table.attempt(id);
		if (attempt == null) {
			return;
		}
		RequestId request = attempt.pending.request.id();
		ServicePool pool = this.pools.get(attempt.pending.request.service());
		this.table.endAttempt(attempt, outcome);
		OutcomeRecorder.recordOutcome(pool, attempt, outcome, now);
		unblockIfUsable(pool, attempt.backend, now);
		this.decisionLog.record(request, now, "finish", outcome, (now - attempt.sentNanos) / 1e6);
	}

	private void unblockIfUsable(ServicePool pool, BackendState backend, long now) {
		if (pool.template != null && backend.isUsable()) {
			pool.unblock(backend);
		}
	}

	@Override
	public Optional<TrafficAction.Refuse> retry(TrafficRequest request, AttemptId failed, long now) {
		if (this.table.findRequest(request.id()) != null) {
			// Another attempt of the request is still running and may complete the
			// response.
			return Optional.empty();
		}
		PendingRequest pending = this.table.removeFailed(request.id());
		boolean isRepeatable = pending != null && pending.request.isIdempotent() && request.isIdempotent();
		if (!isRepeatable || !this.retryBudget.tryAcquire()) {
			return this.admission.refuse(request.id(), TrafficAction.Reason.RETRIES_EXHAUSTED,
					AdmissionControl.DEFAULT_RETRY_AFTER, now);
		}
		return this.admission.requeue(pending, request, failed, now);
	}

	@Override
	public Optional<TrafficAction.Refuse> reroute(TrafficRequest request, AttemptId failed, long now) {
		PendingRequest pending = this.table.removeFailed(request.id());
		if (pending == null) {
			return this.admission.refuse(request.id(), TrafficAction.Reason.RETRIES_EXHAUSTED,
					AdmissionControl.DEFAULT_RETRY_AFTER, now);
		}
		return this.admission.requeue(pending, request, failed, now);
	}

	@Override
	public void cancel(RequestId request) {
		this.table.removeFailed(request);
		PendingRequest pending = this.table.findRequest(request);
		if (pending != null && pending.state == PendingRequest.State.QUEUED) {
			this.table.dequeue(pending);
		}
	}

	@Override
	public UsageTotals nextUsageTotals(long now) {
		return this.usage.nextTotals();
	}

	@Override
	public void recordPeerUsage(UsageTotals totals, long now) {
		this.usage.recordPeerTotals(totals, now, this::chargePeerUsage);
	}

	private static double initialRetryBurst(TrafficTunables tunables) {
		if (tunables.retryFraction() == 0) {
			return 0;
		}
		return (tunables.sharedRetryBurst() > 0) ? MIN_RETRY_BURST : RETRY_BURST;
	}

	@Override
	public void recordGroupUsage(UsageTotals totals, int daemons, long now) {
		if (this.tunables.sharedRetryBurst() > 0 && this.tunables.retryFraction() > 0) {
			double share = this.tunables.sharedRetryBurst() / (daemons + 1);
			this.retryBudget.setBurst(Math.max(MIN_RETRY_BURST, Math.min(RETRY_BURST, share)));
		}
		this.usage.recordGroupTotals(totals, daemons, now, this::chargePeerUsage);
	}

	private void chargePeerUsage(UsageTotals.Key key, double tokens) {
		this.pools.values().forEach((pool) -> pool.queue.chargePeerUsage(key, tokens));
	}

	@Override
	public List<String> explain(RequestId request) {
		return this.decisionLog.explain(Objects.requireNonNull(request, "request"));
	}

	@Override
	public Map<String, Object> dump() {
		Map<String, Object> tree = new LinkedHashMap<>();
		tree.put("share", this.share);
		tree.put("peers", this.usage.peerCount());
		tree.put("retry_permits", this.retryBudget.permits());
		tree.put("attempts", this.table.attemptCount());
		tree.put("requests", this.table.requestCount());
		tree.put("admission", StateDump.toTree(this.admission.waitPolicy()));
		Map<String, Object> services = new LinkedHashMap<>();
		this.pools.forEach((id, pool) -> services.put(id.value(), StateDump.toTree(pool, this.dispatchedNanos)));
		tree.put("services", services);
		return tree;
	}

}
