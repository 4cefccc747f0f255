package org.celeryhill.entry;

import java.util.Optional;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.RequestId;
import org.celeryhill.traffic.AttemptOutcome;
import org.celeryhill.traffic.TrafficAction;
import org.celeryhill.traffic.TrafficRequest;

/**
 * Decides when and to which backend servers the attempts of a request are sent. Listeners
 * are called on a thread of the router that holds no lock. Thread-safe.
 */
interface AttemptRouter {

	/**
	 * Admits a request or refuses it. A refused request has not run.
	 * @param request the request to admit, not null
	 * @param listener receives the decisions about the request, not null
	 * @return empty if admitted, else the refusal; the listener is not called then
	 */
	Optional<TrafficAction.Refuse> admit(TrafficRequest request, Listener listener);

	/**
	 * Requests another attempt after one has failed.
	 * @param request the request, adjusted for the tokens that were delivered, not null
	 * @param failed the attempt that failed, not null
	 * @return empty if another attempt will be sent, else the refusal
	 */
	Optional<TrafficAction.Refuse> retry(TrafficRequest request, AttemptId failed);

	/**
	 * Reports the progress of an attempt.
	 * @param attempt the attempt, not null
	 * @param tokens the number of tokens that the attempt has generated so far
	 */
	void progress(AttemptId attempt, int tokens);

	/**
	 * Reports the end of an attempt.
	 * @param attempt the attempt, not null
	 * @param outcome how the attempt ended, not null
	 */
	void finishAttempt(AttemptId attempt, AttemptOutcome outcome);

	/**
	 * Removes a request that has ended or whose caller has disconnected.
	 * @param request the request, not null
	 */
	void closeRequest(RequestId request);

	/** Receives the decisions about one request. */
	interface Listener {

		/**
		 * Sends an attempt. Must not block.
		 * @param send the attempt and its backend server, not null
		 */
		void onSend(TrafficAction.Send send);

		/**
		 * Ends the request, which has no running attempt.
		 * @param refuse the reason and the time after which a retry may succeed, not null
		 */
		void onRefuse(TrafficAction.Refuse refuse);

	}

}
