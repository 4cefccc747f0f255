package org.celeryhill.measure;

import java.util.SplittableRandom;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;

/**
 * Plain service server that runs a bounded number of calls at once. Not thread-safe.
 */
final class PlainModel {

	/** Mean duration of a call, in seconds. */
	static final double MEAN_SECONDS = 0.2;

	/** Server. */
	final BackendServerId id;

	/** Where it stands. */
	final DataCentre dataCentre;

	/** Whether it answers. */
	boolean isAlive = true;

	/** Calls that run. */
	private int running;

	/** Virtual time. */
	private final EventQueue events;

	/** Source of durations. */
	private final SplittableRandom random;

	PlainModel(BackendServerId id, DataCentre dataCentre, EventQueue events, SplittableRandom random) {
		this.id = id;
		this.dataCentre = dataCentre;
		this.events = events;
		this.random = random;
	}

	/**
	 * Runs a call, or refuses it before it runs.
	 * @param attempt the attempt
	 * @param job the call
	 * @param host the host that receives the answer
	 * @return whether it runs
	 */
	boolean accept(AttemptId attempt, Job job, EntryHost host) {
		if (this.running >= Deployment.PLAIN_CAPACITY) {
			return false;
		}
		this.running++;
		job.executions++;
		double seconds = MEAN_SECONDS * (0.5 + this.random.nextDouble());
		this.events.after((long) (seconds * 1e9), () -> {
			this.running--;
			host.answered(attempt, job, this.isAlive);
		});
		return true;
	}

	/**
	 * Returns the calls that run.
	 * @return the number
	 */
	int running() {
		return this.running;
	}

}
