package org.celeryhill.measure;

import java.util.ArrayList;
import java.util.List;

import org.celeryhill.base.ModelId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.RequestId;
import org.celeryhill.config.ClassTarget;

/**
 * One request of a caller during a run. Not thread-safe.
 */
final class Job {

	/** Request. */
	final RequestId id;

	/** Position of the organisation. */
	final int organisation;

	/** Class. */
	final PriorityClass priority;

	/** Targets of the class. */
	final ClassTarget target;

	/** Model or adapter, null for a plain call. */
	final ModelId model;

	/** Prompt tokens. */
	final int prompt;

	/** Tokens that the complete answer has. */
	final int output;

	/** Tokens that the caller allows. */
	final int maxTokens;

	/** Hashes of the shared prefix. */
	final List<Long> prefix;

	/** When it arrived, in nanoseconds. */
	final long arrived;

	/** When the first token arrived, in nanoseconds; -1 before. */
	long firstToken = -1;

	/** When the last token arrived, in nanoseconds. */
	long lastToken;

	/** Tokens that the caller has received. */
	int delivered;

	/** Times that a server began to run it. */
	int executions;

	/** Final outcomes that the caller was given. */
	int outcomes;

	/** Attempts that run. */
	final List<Stream> streams = new ArrayList<>(1);

	/** Whether it was sent at least once. */
	boolean isSent;

	/** Whether an attempt ended in a way that leaves open whether it ran. */
	boolean mayHaveRun;

	/** How it ended, null before. */
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
		this.arrived = arrived;
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
	 * @param how how it ended
	 */
	void end(Outcome how) {
		this.outcomes++;
		this.outcome = how;
	}

	/**
	 * Returns whether it completed within the targets of its class.
	 * @return true if so
	 */
	boolean isAttained() {
		return this.outcome == Outcome.COMPLETED && firstTokenNanos() <= this.target.firstToken().toNanos()
				&& betweenTokensNanos() <= this.target.betweenTokens().toNanos();
	}

	/**
	 * Returns the time to the first token.
	 * @return nanoseconds
	 */
	long firstTokenNanos() {
		return this.firstToken - this.arrived;
	}

	/**
	 * Returns the mean time between tokens.
	 * @return nanoseconds, 0 if there is one token
	 */
	double betweenTokensNanos() {
		return (this.output > 1) ? (double) (this.lastToken - this.firstToken) / (this.output - 1) : 0;
	}

	/** How a job ended for its caller. */
	enum Outcome {

		/** The complete answer arrived. */
		COMPLETED,

		/** It was refused and has not run. */
		REFUSED,

		/** It ended with an error after it had run in part. */
		FAILED

	}

}
