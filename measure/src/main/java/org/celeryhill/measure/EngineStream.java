package org.celeryhill.measure;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.ModelId;

/**
 * Attempt of a job on an engine, which generates the rest of its output. Not thread-safe.
 */
final class EngineStream {

	/** Id of the attempt. */
	final AttemptId attempt;

	/** Job of the attempt. */
	final Job job;

	/** Host that receives the tokens. */
	final SimulatedEntryHost host;

	/** Model whose weights the stream uses, the base model of an adapter. */
	final ModelId baseModel;

	/** Rank in the queue of the engine; lower ranks run first. */
	final int rank;

	/** Sequence number of the arrival at the engine. */
	long arrivalOrder;

	/**
	 * Number of tokens before the first one of this attempt: the prompt and the tokens
	 * that the caller already has.
	 */
	final int context;

	/** Number of tokens to generate. */
	final int output;

	/** Number of context tokens that are not prefilled yet. */
	int prefillLeft;

	/** Number of generated tokens. */
	int generated;

	/** Whether the stream completed, broke or was cancelled. */
	boolean isEnded;

	EngineStream(AttemptId attempt, Job job, SimulatedEntryHost host, ModelId weights, int rank) {
		this.attempt = attempt;
		this.job = job;
		this.host = host;
		this.baseModel = weights;
		this.rank = rank;
		this.context = job.prompt + job.deliveredTokens;
		this.output = job.output - job.deliveredTokens;
		this.prefillLeft = this.context;
	}

}
