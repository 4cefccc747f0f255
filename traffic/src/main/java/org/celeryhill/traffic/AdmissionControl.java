package org.celeryhill.traffic;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.RequestId;
import org.celeryhill.base.ServiceId;

/**
 * Admits requests to their queues and refuses those that cannot be served in time: when
 * they arrive, while they wait and at their deadline. Not thread-safe.
 */
final class AdmissionControl {

	/** Retry-After of refusals that are not based on an estimate of the backlog. */
	static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

	/** Parameters of the deployment. */
	private final TrafficTunables tunables;

	/** Services by id. */
	private final Map<ServiceId, ServicePool> pools;

	/** Waiting requests, running attempts and requests that may be retried. */
	private final RequestTable table;

	/** Decisions kept for explanations. */
	private final DecisionLog decisionLog;

	/** Decides by the backlog of a class. */
	private final AdmissionPolicy classPolicy;

	/** Decides by the backlog of a model. */
	private final WaitPolicy waitPolicy = new WaitPolicy();

	/** Number of requests offered, used as arrival order. */
	private long requestCount;

	/**
	 * Creates admission without requests.
	 * @param tunables the parameters of the deployment
	 * @param pools the services by id
	 * @param table the waiting requests
	 * @param decisionLog the decisions kept for explanations
	 */
	AdmissionControl(TrafficTunables tunables, Map<ServiceId, ServicePool> pools, RequestTable table,
			DecisionLog decisionLog) {
		this.tunables = tunables;
		this.pools = pools;
		this.table = table;
		this.decisionLog = decisionLog;
		this.classPolicy = new AdmissionPolicy(tunables.queueLimit());
	}

	/**
	 * Returns the policy that decides by the backlog of a model.
	 * @return the policy
	 */
	WaitPolicy waitPolicy() {
		return this.waitPolicy;
	}

	/**
	 * Queues a request or refuses it.
	 * @param request the request
	 * @param now the current time in nanoseconds
	 * @return empty if the request is queued, else the refusal
	 */
	Optional<TrafficAction.Refuse> offer(TrafficRequest request, long now) {
		ServicePool pool = this.pools.get(request.service());
		FlowQueue flow = RequestClassifier.selectQueue(pool, request);
		if (flow == null) {
			return refuse(request.id(), TrafficAction.Reason.NOT_CONFIGURED, DEFAULT_RETRY_AFTER, now);
		}
		if (!pool.backends().iterator().hasNext()) {
			return refuse(request.id(), TrafficAction.Reason.NO_BACKEND, DEFAULT_RETRY_AFTER, now);
		}
		long deadline = request.arrivedNanos() + PendingRequest.latestStartNanos(request, flow);
		long engineTime = estimateEngineTime(pool, flow, request);
		PendingRequest pending = new PendingRequest(request, flow, this.requestCount++,
				RequestClassifier.estimateCost(pool, flow, request), engineTime, deadline);
		flow.classQueue.organisation.demand.add(engineTime, now);
		Optional<TrafficAction.Reason> reason = check(pool, pending, now);
		if (reason.isPresent()) {
			return Optional.of(refuse(pool, pending, reason.get(), now));
		}
		this.table.enqueue(pending, now);
		return Optional.empty();
	}

	private Optional<TrafficAction.Reason> check(ServicePool pool, PendingRequest pending, long now) {
		Optional<TrafficAction.Reason> reason = this.classPolicy.check(pool, pending, now);
		return reason.isPresent() ? reason : this.waitPolicy.checkArrival(pool, pending, now);
	}

	private long estimateEngineTime(ServicePool pool, FlowQueue flow, TrafficRequest request) {
		return this.tunables.sharesByNeed() ? RequestClassifier.estimateEngineTime(pool, flow, request)
				: RequestClassifier.estimateCost(pool, flow, request);
	}

	/**
	 * Queues a request again after an attempt of it has ended.
	 * @param pending the request as it was queued before
	 * @param request the request, including the part of the output delivered so far
	 * @param failed the attempt that ended
	 * @param now the current time in nanoseconds
	 * @return empty if the request is queued again, else the refusal
	 */
	Optional<TrafficAction.Refuse> requeue(PendingRequest pending, TrafficRequest request, AttemptId failed, long now) {
		ServicePool pool = this.pools.get(request.service());
		if (pool.isOutOfCandidates(pending)) {
			return refuse(request.id(), TrafficAction.Reason.RETRIES_EXHAUSTED, DEFAULT_RETRY_AFTER, now);
		}
		PendingRequest retried = pending.copyForRetry(request,
				RequestClassifier.estimateCost(pool, pending.flow, request),
				estimateEngineTime(pool, pending.flow, request), now);
		if (now >= retried.deadline) {
			return Optional.of(refuse(pool, retried, TrafficAction.Reason.DEADLINE, now));
		}
		this.table.enqueue(retried, now);
		this.decisionLog.record(request.id(), now, "retry", failed, 0);
		return Optional.empty();
	}

	/**
	 * Refuses the waiting requests whose deadline has passed, and those with bounds that
	 * are foreseen to wait beyond it.
	 * @param now the current time in nanoseconds
	 * @param actions receives the refusals
	 */
	void refuseDue(long now, List<TrafficAction> actions) {
		PendingRequest pending = this.table.pollExpired(now);
		while (pending != null) {
			ServicePool pool = this.pools.get(pending.request.service());
			TrafficAction.Reason reason = pool.isReachable(pending.flow.route) ? TrafficAction.Reason.DEADLINE
					: TrafficAction.Reason.NO_BACKEND;
			actions.add(refuseWaiting(pool, pending, reason, now));
			pending = this.table.pollExpired(now);
		}
		pending = this.table.pollReview(now);
		while (pending != null) {
			review(pending, now, actions);
			pending = this.table.pollReview(now);
		}
	}

	private void review(PendingRequest pending, long now, List<TrafficAction> actions) {
		ServicePool pool = this.pools.get(pending.request.service());
		Optional<TrafficAction.Reason> reason = this.waitPolicy.checkWaiting(pool, pending, now);
		if (reason.isPresent()) {
			actions.add(refuseWaiting(pool, pending, reason.get(), now));
		}
		else {
			this.table.scheduleReview(pending, now);
		}
	}

	private TrafficAction refuseWaiting(ServicePool pool, PendingRequest pending, TrafficAction.Reason reason,
			long now) {
		this.table.dequeue(pending);
		return refuse(pool, pending, reason, now);
	}

	/**
	 * Refuses a waiting request.
	 * @param pending the request
	 * @param reason the reason
	 * @param retryAfter the time after which the caller may try again
	 * @param now the current time in nanoseconds
	 * @return the refusal
	 */
	TrafficAction refuseWaiting(PendingRequest pending, TrafficAction.Reason reason, Duration retryAfter, long now) {
		this.table.dequeue(pending);
		return refuse(pending.request.id(), reason, retryAfter, now).get();
	}

	private TrafficAction.Refuse refuse(ServicePool pool, PendingRequest pending, TrafficAction.Reason reason,
			long now) {
		Duration retryAfter = pending.isReviewed ? this.waitPolicy.promiseReturn(pool, pending, now)
				: this.classPolicy.retryAfter(pool, pending.flow.classQueue, now);
		return refuse(pending.request.id(), reason, retryAfter, now).get();
	}

	/**
	 * Refuses a request.
	 * @param id the request
	 * @param reason the reason
	 * @param retryAfter the time after which the caller may try again
	 * @param now the current time in nanoseconds
	 * @return the refusal
	 */
	Optional<TrafficAction.Refuse> refuse(RequestId id, TrafficAction.Reason reason, Duration retryAfter, long now) {
		this.decisionLog.record(id, now, "refuse", reason, retryAfter.toMillis());
		return Optional.of(new TrafficAction.Refuse(id, reason, retryAfter));
	}

}
