package org.celeryhill.traffic;

import java.util.List;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.RequestId;
import org.celeryhill.base.UsageTotals;
import org.celeryhill.config.Revision;

/**
 * Admission, routing, limits and retries of one entry daemon for model requests and plain
 * calls. It holds all requests that wait and all attempts that run. All times are
 * monotonic nanoseconds of the timer service, never decreasing from call to call. It does
 * no I/O and starts no thread; it is not thread-safe, callers hold one lock around it.
 */
public interface TrafficController {

	/**
	 * Puts a configuration in force for requests that are not dispatched yet.
	 * @param revision the configuration, not null
	 * @param now the time in nanoseconds
	 */
	void apply(Revision revision, long now);

	/**
	 * Takes note of the latest state of a backend server.
	 * @param backend the state, not null
	 * @param now the time in nanoseconds
	 */
	void updateBackend(BackendView backend, long now);

	/**
	 * Forgets a backend server that no longer exists. Its attempts stay until they
	 * finish.
	 * @param backend the backend server, not null
	 */
	void removeBackend(BackendServerId backend);

	/**
	 * Takes note of cached prompt prefixes, late and with gaps.
	 * @param backend the engine, not null
	 * @param events the events in order, not null
	 */
	void recordCacheEvents(BackendServerId backend, List<org.celeryhill.port.Engine.CacheEvent> events);

	/**
	 * Admits a request to the queue or refuses it. A refused request has not run.
	 * @param request the request, not null
	 * @param now the time in nanoseconds
	 * @return empty if the request is queued, else the refusal
	 */
	java.util.Optional<TrafficAction.Refuse> offer(TrafficRequest request, long now);

	/**
	 * Decides what to send now and which waiting requests to refuse.
	 * @param now the time in nanoseconds
	 * @return the actions in order, never null, empty if nothing is due
	 */
	List<TrafficAction> dispatch(long now);

	/**
	 * Takes note of tokens of an attempt.
	 * @param attempt the attempt, not null; unknown ones are ignored
	 * @param tokens the tokens of the answer so far
	 * @param now the time in nanoseconds
	 */
	void progress(AttemptId attempt, int tokens, long now);

	/**
	 * Ends an attempt and frees what it holds.
	 * @param attempt the attempt, not null; unknown ones are ignored
	 * @param outcome how it ended, not null
	 * @param now the time in nanoseconds
	 */
	void finish(AttemptId attempt, AttemptOutcome outcome, long now);

	/**
	 * Asks to send a request again after an attempt of it has ended. On success the
	 * request is queued before others of its class and avoids the backend servers that
	 * failed it; the caller must not have ended the request.
	 * @param request the request with what has been delivered so far, not null
	 * @param failed the attempt that ended, not null
	 * @param now the time in nanoseconds
	 * @return empty if the request is queued again, else the refusal (retry budget, no
	 * backend server left, deadline)
	 */
	java.util.Optional<TrafficAction.Refuse> retry(TrafficRequest request, AttemptId failed, long now);

	/**
	 * Queues a request again whose attempt has ended before anything was sent. It avoids
	 * the backend servers that failed it and draws on no retry budget.
	 * @param request the request, not null
	 * @param failed the attempt that ended, not null
	 * @param now the time in nanoseconds
	 * @return empty if the request is queued again, else the refusal (no backend server
	 * left, deadline)
	 */
	java.util.Optional<TrafficAction.Refuse> reroute(TrafficRequest request, AttemptId failed, long now);

	/**
	 * Removes a request whose caller is gone from the queue.
	 * @param request the request, not null; unknown ones are ignored
	 */
	void cancel(RequestId request);

	/**
	 * Returns the totals to publish to the other entry daemons.
	 * @param now the time in nanoseconds
	 * @return the totals, never null
	 */
	UsageTotals nextUsageTotals(long now);

	/**
	 * Takes note of the totals of another entry daemon.
	 * @param totals the totals, not null
	 * @param now the time in nanoseconds
	 */
	void recordPeerUsage(UsageTotals totals, long now);

	/**
	 * Returns the recorded decisions about a request, oldest first; bounded in number.
	 * @param request the request, not null
	 * @return one line of text for each decision, never null, empty if none is kept
	 */
	List<String> explain(RequestId request);

	/**
	 * Returns the state for the dump: queues, limits, backend servers, attempts.
	 * @return a tree of maps, lists and scalars that a JSON writer accepts, never null
	 */
	java.util.Map<String, Object> dump();

}
