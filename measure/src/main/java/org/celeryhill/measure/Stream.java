package org.celeryhill.measure;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.ModelId;

/**
 * One attempt of a job on an engine. Not thread-safe.
 */
final class Stream {

	/** Attempt. */
	final AttemptId attempt;

	/** Job. */
	final Job job;

	/** Host that receives the answer. */
	final EntryHost host;

	/** Model whose weights it uses. */
	final ModelId weights;

	/** Position in the engine's order of service; lower goes first. */
	final int rank;

	/** Arrival order at the engine. */
	long order;

	/** Tokens before the first one of this attempt, prompt and delivered part. */
	final int context;

	/** Tokens to generate. */
	final int output;

	/** Prompt tokens still to prefill. */
	int prefillLeft;

	/** Tokens generated. */
	int generated;

	/** Whether it ended or was cancelled. */
	boolean isOver;

	Stream(AttemptId attempt, Job job, EntryHost host, ModelId weights, int rank) {
		this.attempt = attempt;
		this.job = job;
		this.host = host;
		this.weights = weights;
		this.rank = rank;
		this.context = job.prompt + job.delivered;
		this.output = job.output - job.delivered;
		this.prefillLeft = this.context;
	}

}
