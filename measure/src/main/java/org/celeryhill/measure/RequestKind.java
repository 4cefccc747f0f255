package org.celeryhill.measure;

import org.celeryhill.base.PriorityClass;

/**
 * Sizes and part of the requests of one class. Assumptions of the measurement. Immutable
 * and thread-safe.
 */
enum RequestKind {

	/** Answers to questions. */
	URGENT(PriorityClass.URGENT, 0.5, 300, 100),

	/** Ordinary work. */
	NORMAL(PriorityClass.NORMAL, 0.3, 500, 150),

	/** Summaries and letters. */
	BATCH(PriorityClass.BATCH, 0.2, 800, 250);

	/** Time between tokens at which the capacity is stated, in seconds. */
	private static final double CAPACITY_STEP = 0.028;

	/** Models in use on one engine at which the capacity is stated. */
	private static final int CAPACITY_MODELS = 6;

	/** Class. */
	final PriorityClass priority;

	/** Part of the requests. */
	final double part;

	/** Mean prompt in tokens. */
	final int prompt;

	/** Mean answer in tokens. */
	final int output;

	RequestKind(PriorityClass priority, double part, int prompt, int output) {
		this.priority = priority;
		this.part = part;
		this.prompt = prompt;
		this.output = output;
	}

	/**
	 * Returns the requests per second that one engine can serve if all are of this kind,
	 * at the tightest target of the time between tokens and without cached prefixes.
	 * @return requests per second
	 */
	double capacity() {
		return EngineModel.capacity(CAPACITY_STEP, this.prompt, this.output, CAPACITY_MODELS) / this.output;
	}

	/**
	 * Returns the generated tokens per second that one engine can serve of a mix.
	 * @param parts the parts of the requests by kind
	 * @return tokens per second
	 */
	static double tokenCapacity(double[] parts) {
		return requestCapacity(parts) * meanOutput(parts);
	}

	/**
	 * Returns the requests per second that one engine can serve of a mix.
	 * @param parts the parts of the requests by kind
	 * @return requests per second
	 */
	static double requestCapacity(double[] parts) {
		double prompt = 0;
		double sum = 0;
		for (RequestKind kind : values()) {
			prompt += parts[kind.ordinal()] * kind.prompt;
			sum += parts[kind.ordinal()];
		}
		double output = meanOutput(parts);
		return EngineModel.capacity(CAPACITY_STEP, prompt / sum, output, CAPACITY_MODELS) / output;
	}

	private static double meanOutput(double[] parts) {
		double output = 0;
		double sum = 0;
		for (RequestKind kind : values()) {
			output += parts[kind.ordinal()] * kind.output;
			sum += parts[kind.ordinal()];
		}
		return output / sum;
	}

	/**
	 * Returns the usual parts of the kinds.
	 * @return the parts by kind
	 */
	static double[] usualParts() {
		double[] parts = new double[values().length];
		for (RequestKind kind : values()) {
			parts[kind.ordinal()] = kind.part;
		}
		return parts;
	}

}
