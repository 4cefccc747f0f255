package org.celeryhill.measure;

import java.util.ArrayList;
import java.util.List;

import org.celeryhill.base.ModelId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.RequestId;
import org.celeryhill.config.ClassTarget;

/**
 * Request of a caller during a run, with its progress and outcome. Not thread-safe.
 */
final class Job {

	/** Id of the request. */
	final RequestId id;

	/** Position of the organisation in the deployment. */
	final int organisation;

	/** Priority class. */
	final PriorityClass priority;

	/** Targets of the priority class. */
	final ClassTarget target;

	/** Requested model or adapter, null for a plain call. */
	final ModelId model;

	/** Length of the prompt, in tokens. */
	final int prompt;

	/** Length of the complete output, in tokens. */
	final int output;

	/** Limit of the output that the caller sets, in tokens. */
	final int maxTokens;

	/** Hashes of the shared prompt prefix, one for each block. */
	final List<Long> prefix;

	/** Arrival time, in nanoseconds. */
	final long arrivedNanos;

	/** Time of the first token, in nanoseconds, or -1 before. */
	long firstToken = -1;

	/** Time of the last delivered token, in nanoseconds. */
	long lastToken;

	/** Number of tokens that the caller has received. */
	int deliveredTokens;

	/** Number of times that a server started to run the request. */
	int executions;

	/** Number of final outcomes that the caller received; must be 1 at the end. */
	int outcomeCount;

	/** Running attempts on engines. */
	final List<EngineStream> streams = new ArrayList<>(1);

	/** Whether the request was sent to a server at least once. */
	boolean isSent;

	/** Whether an attempt ended without certainty that it did not run. */
	boolean mayHaveRun;

	/** Final outcome, null before the end. */
	Outcome outcome;

	Job(RequestId id, int organisation, PriorityClass priority, ModelId model, int prompt, int output, int maxTokens,
			List<Long> prefix, long arrived) {
		this.id = id;
		this.organisation = organisation;
		this.priority = priority;
		this.target = Deployment.targets().get(priority);
		this.model = model;
		this.prompt = prompt;
		this.output = output;
		this.maxTokens = maxTokens;
		this.prefix = prefix;
		this.arrivedNanos = arrived;
	}

	/**
	 * Returns whether this is a non-idempotent call of the plain service.
	 * @return true for a booking
	 */
	boolean isBooking() {
		return this.model == null;
	}

	/**
	 * Ends the job.
	 * @param finalOutcome the outcome for the caller
	 */
	void end(Outcome finalOutcome) {
		this.outcomeCount++;
		this.outcome = finalOutcome;
	}

	/**
	 * Returns whether the request completed within the targets of its class.
	 * @return true if both the time to the first token and the mean time between tokens
	 * are within their targets
	 */
	boolean isAttained() {
		return this.outcome == Outcome.COMPLETED && firstTokenNanos() <= this.target.firstToken().toNanos()
				&& meanTimeBetweenTokensNanos() <= this.target.betweenTokens().toNanos();
	}

	/**
	 * Returns the time from the arrival to the first token.
	 * @return the time in nanoseconds
	 */
	long firstTokenNanos() {
		return this.firstToken - this.arrivedNanos;
	}

	/**
	 * Returns the mean time between tokens.
	 * @return the time in nanoseconds, 0 if the output has one token
	 */
	double meanTimeBetweenTokensNanos() {
		return (this.output > 1) ? (double) (this.lastToken - this.firstToken) / (this.output - 1) : 0;
	}

	/** Outcome of a job for its caller. */
	enum Outcome {

		/** The complete output or response arrived. */
		COMPLETED,

		/** The request was refused and has not run. */
		REFUSED,

		/** The request ended with an error and may have run in part. */
		FAILED

	}

}
