package org.celeryhill.entry;

import java.util.Optional;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.RequestId;
import org.celeryhill.traffic.AttemptOutcome;
import org.celeryhill.traffic.TrafficAction;
import org.celeryhill.traffic.TrafficRequest;

/**
 * Decides where and when attempts of a request are sent. Thread-safe. The listener is
 * called on a thread of the router while no lock of the router is held.
 */
interface AttemptRouter {

	/**
	 * Admits a request or refuses it. A refused request has not run.
	 * @param request the request, not null
	 * @param listener who is told of decisions, not null
	 * @return empty if admitted, else the refusal
	 */
	Optional<TrafficAction.Refuse> offer(TrafficRequest request, Listener listener);

	/**
	 * Asks for another attempt after one has ended.
	 * @param request the request with what has been delivered, not null
	 * @param failed the attempt that ended, not null
	 * @return empty if another attempt will be sent, else the refusal
	 */
	Optional<TrafficAction.Refuse> retry(TrafficRequest request, AttemptId failed);

	/**
	 * Takes note of tokens of an attempt.
	 * @param attempt the attempt, not null
	 * @param tokens the tokens that the attempt has generated so far
	 */
	void progress(AttemptId attempt, int tokens);

	/**
	 * Ends an attempt.
	 * @param attempt the attempt, not null
	 * @param outcome how it ended, not null
	 */
	void finish(AttemptId attempt, AttemptOutcome outcome);

	/**
	 * Forgets a request that has ended or whose caller is gone.
	 * @param request the request, not null
	 */
	void close(RequestId request);

	/** Is told of decisions about one request. */
	interface Listener {

		/**
		 * Sends an attempt. Must not block.
		 * @param send what to send, not null
		 */
		void onSend(TrafficAction.Send send);

		/**
		 * Ends the request, which has no attempt running.
		 * @param refuse the refusal, not null
		 */
		void onRefuse(TrafficAction.Refuse refuse);

	}

}
