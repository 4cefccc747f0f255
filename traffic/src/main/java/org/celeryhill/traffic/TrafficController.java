package org.celeryhill.traffic;

import java.util.List;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.RequestId;
import org.celeryhill.base.UsageTotals;
import org.celeryhill.config.Revision;

/**
 * Admission, routing, concurrency limits and retries of one entry daemon, for model
 * requests and for calls of plain services. A controller tracks every waiting request and
 * every running attempt. All times are monotonic nanoseconds of the timer service and
 * never decrease from call to call. A controller does no I/O and starts no thread. It is
 * not thread-safe; callers serialise all calls with one lock.
 */
public interface TrafficController {

	/**
	 * Applies a configuration. It governs requests that have not been dispatched yet.
	 * @param revision the configuration, not null
	 * @param now the current time in nanoseconds
	 */
	void apply(Revision revision, long now);

	/**
	 * Records the latest state of a backend server and adds the server if it is new.
	 * @param backend the state, not null
	 * @param now the current time in nanoseconds
	 */
	void updateBackend(BackendView backend, long now);

	/**
	 * Removes a backend server that no longer exists. Its running attempts are kept until
	 * they finish.
	 * @param backend the backend server, not null; unknown ones are ignored
	 */
	void removeBackend(BackendServerId backend);

	/**
	 * Sends no requests to a backend server for some time, because it asked for that. The
	 * server is full, not faulty. The pause ends early if the server restarts.
	 * @param backend the backend server, not null; unknown ones are ignored
	 * @param pause the time from now, not null; a shorter one than the present is ignored
	 * @param now the current time in nanoseconds
	 */
	void pauseBackend(BackendServerId backend, java.time.Duration pause, long now);

	/**
	 * Records which prompt prefixes an engine has cached or dropped. Events may arrive
	 * late and with gaps.
	 * @param backend the engine, not null; unknown ones are ignored
	 * @param events the events in order, not null
	 */
	void recordCacheEvents(BackendServerId backend, List<org.celeryhill.port.Engine.CacheEvent> events);

	/**
	 * Sets the forecast of models that are being loaded, which decides how long a request
	 * for such a model may wait. Without one, a model without an engine is not expected.
	 * @param forecast the forecast, not null
	 */
	default void setModelForecast(ModelForecast forecast) {
	}

	/**
	 * Queues a request or refuses it. A refused request has not been sent to any backend
	 * server.
	 * @param request the request, not null
	 * @param now the current time in nanoseconds
	 * @return empty if the request is queued, else the refusal
	 * @throws IllegalArgumentException if a request with the same id waits, runs or may
	 * be retried
	 */
	java.util.Optional<TrafficAction.Refuse> offer(TrafficRequest request, long now);

	/**
	 * Decides which attempts to send now and which waiting requests to refuse.
	 * @param now the current time in nanoseconds
	 * @return the actions in order, never null, empty if nothing is due
	 */
	List<TrafficAction> dispatch(long now);

	/**
	 * Returns whether {@link #dispatch} may have something to do as time goes by, without
	 * another call: a request waits, or a server is to be used again after some time.
	 * @return whether to call it periodically
	 */
	default boolean isDispatchTimed() {
		return true;
	}

	/**
	 * Records the output tokens that an attempt has produced so far.
	 * @param attempt the attempt, not null; unknown ones are ignored
	 * @param tokens the total number of output tokens so far; a number that is not larger
	 * than the last one is ignored
	 * @param now the current time in nanoseconds
	 */
	void progress(AttemptId attempt, int tokens, long now);

	/**
	 * Ends an attempt and releases the capacity that it holds.
	 * @param attempt the attempt, not null; unknown ones are ignored
	 * @param outcome how the attempt ended, not null
	 * @param now the current time in nanoseconds
	 */
	void finish(AttemptId attempt, AttemptOutcome outcome, long now);

	/**
	 * Queues a request again after an attempt of it has failed. The request goes to the
	 * front of its queue and avoids the backend servers that failed it. The caller must
	 * not have reported a final result for the request.
	 * @param request the request, including the part of the output delivered so far, not
	 * null
	 * @param failed the attempt that ended, not null
	 * @param now the current time in nanoseconds
	 * @return empty if the request is queued again or another attempt of it still runs,
	 * else the refusal (not idempotent, retry budget used up, no backend server left,
	 * deadline passed)
	 */
	java.util.Optional<TrafficAction.Refuse> retry(TrafficRequest request, AttemptId failed, long now);

	/**
	 * Queues a request again whose attempt ended before anything was sent to the backend
	 * server. The request avoids the backend servers that failed it. This does not use
	 * the retry budget and is allowed for requests that are not idempotent.
	 * @param request the request, not null
	 * @param failed the attempt that ended, not null
	 * @param now the current time in nanoseconds
	 * @return empty if the request is queued again, else the refusal (no backend server
	 * left, deadline passed)
	 */
	java.util.Optional<TrafficAction.Refuse> reroute(TrafficRequest request, AttemptId failed, long now);

	/**
	 * Removes a request from the queue because its caller has disconnected. Running
	 * attempts are not affected.
	 * @param request the request, not null; unknown ones are ignored
	 */
	void cancel(RequestId request);

	/**
	 * Returns the usage totals to publish to the other entry daemons, with the next
	 * sequence number.
	 * @param now the current time in nanoseconds
	 * @return the totals, never null
	 */
	UsageTotals nextUsageTotals(long now);

	/**
	 * Records the usage totals of another entry daemon.
	 * @param totals the totals, not null; repeated and outdated ones are ignored
	 * @param now the current time in nanoseconds
	 */
	void recordPeerUsage(UsageTotals totals, long now);

	/**
	 * Records the sum of the usage of several other daemons, as one daemon reports it.
	 * Replaces {@link #recordPeerUsage} where the daemons are too many to report to each
	 * other.
	 * @param totals the sum; its host and incarnation are those of the reporting daemon,
	 * not null
	 * @param daemons the number of daemons in the sum, without this one
	 * @param now the current time in nanoseconds
	 */
	void recordGroupUsage(UsageTotals totals, int daemons, long now);

	/**
	 * Returns the recorded decisions about a request, oldest first. Only a bounded number
	 * of decisions is kept for all requests together.
	 * @param request the request, not null
	 * @return one line of text for each decision, never null, empty if none is kept
	 */
	List<String> explain(RequestId request);

	/**
	 * Returns the state of queues, limits, backend servers and attempts for the state
	 * dump.
	 * @return a tree of maps, lists and scalars that a JSON writer accepts, never null
	 */
	java.util.Map<String, Object> dump();

}
