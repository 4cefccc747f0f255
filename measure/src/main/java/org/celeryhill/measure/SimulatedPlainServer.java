package org.celeryhill.measure;

import java.util.SplittableRandom;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;

/**
 * Simulated server of a plain service, which runs a limited number of concurrent calls.
 * Not thread-safe.
 */
final class SimulatedPlainServer {

	/** Mean duration of a call, in seconds. */
	static final double MEAN_CALL_SECONDS = 0.2;

	/** Id of the server. */
	final BackendServerId id;

	/** Data centre of the server. */
	final DataCentre dataCentre;

	/** Whether the server runs. */
	boolean isAlive = true;

	/** Number of running calls. */
	private int running;

	/** Virtual time. */
	private final EventQueue events;

	/** Random generator of the call durations. */
	private final SplittableRandom random;

	SimulatedPlainServer(BackendServerId id, DataCentre dataCentre, EventQueue events, SplittableRandom random) {
		this.id = id;
		this.dataCentre = dataCentre;
		this.events = events;
		this.random = random;
	}

	/**
	 * Starts a call, or refuses it because the server is full. A refused call has not
	 * run.
	 * @param attempt the id of the attempt
	 * @param job the plain call
	 * @param host the host that receives the response
	 * @return whether the call was accepted
	 */
	boolean accept(AttemptId attempt, Job job, SimulatedEntryHost host) {
		if (this.running >= Deployment.MAX_CALLS_PER_PLAIN_SERVER) {
			return false;
		}
		this.running++;
		job.executions++;
		double seconds = MEAN_CALL_SECONDS * (0.5 + this.random.nextDouble());
		this.events.scheduleAfter((long) (seconds * 1e9), () -> {
			this.running--;
			host.handleCallEnd(attempt, job, this.isAlive);
		});
		return true;
	}

	/**
	 * Returns the number of running calls.
	 * @return the number of calls
	 */
	int running() {
		return this.running;
	}

}
