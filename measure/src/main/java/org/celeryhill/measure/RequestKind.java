package org.celeryhill.measure;

import org.celeryhill.base.PriorityClass;

/**
 * Lengths and share of the requests of each priority class, which are assumptions of the
 * simulation. Immutable and thread-safe.
 */
enum RequestKind {

	/** Question answering. */
	URGENT(PriorityClass.URGENT, 0.5, 300, 100),

	/** Ordinary requests. */
	NORMAL(PriorityClass.NORMAL, 0.3, 500, 150),

	/** Summaries and letters. */
	BATCH(PriorityClass.BATCH, 0.2, 800, 250);

	/**
	 * Time between tokens for which the capacity is computed, in seconds; the tightest
	 * target of {@link Deployment#targets}.
	 */
	private static final double CAPACITY_STEP_SECONDS = 0.028;

	/** Number of models in use on an engine for which the capacity is computed. */
	private static final int CAPACITY_MODELS = 6;

	/** Priority class. */
	final PriorityClass priority;

	/** Fraction of all engine requests. */
	final double fraction;

	/** Mean length of a prompt, in tokens. */
	final int prompt;

	/** Mean length of an output, in tokens. */
	final int output;

	RequestKind(PriorityClass priority, double part, int prompt, int output) {
		this.priority = priority;
		this.fraction = part;
		this.prompt = prompt;
		this.output = output;
	}

	/**
	 * Returns the rate of requests that one engine can serve if all are of this kind, at
	 * the tightest target of the time between tokens and without cached prefixes.
	 * @return the rate in requests per second
	 */
	double capacity() {
		return SimulatedEngine.capacity(CAPACITY_STEP_SECONDS, this.prompt, this.output, CAPACITY_MODELS) / this.output;
	}

	/**
	 * Returns the rate of output tokens that one engine can generate for a mix of
	 * requests.
	 * @param fractions the weights of the kinds in the mix, by ordinal; their sum need
	 * not be 1
	 * @return the rate in tokens per second
	 */
	static double tokenCapacity(double[] fractions) {
		return requestCapacity(fractions) * meanOutput(fractions);
	}

	/**
	 * Returns the rate of requests that one engine can serve for a mix of requests.
	 * @param fractions the weights of the kinds in the mix, by ordinal; their sum need
	 * not be 1
	 * @return the rate in requests per second
	 */
	static double requestCapacity(double[] fractions) {
		double prompt = 0;
		double sum = 0;
		for (RequestKind kind : values()) {
			prompt += fractions[kind.ordinal()] * kind.prompt;
			sum += fractions[kind.ordinal()];
		}
		double output = meanOutput(fractions);
		return SimulatedEngine.capacity(CAPACITY_STEP_SECONDS, prompt / sum, output, CAPACITY_MODELS) / output;
	}

	private static double meanOutput(double[] fractions) {
		double output = 0;
		double sum = 0;
		for (RequestKind kind : values()) {
			output += fractions[kind.ordinal()] * kind.output;
			sum += fractions[kind.ordinal()];
		}
		return output / sum;
	}

	/**
	 * Returns the usual mix of requests.
	 * @return the fractions of the kinds, by ordinal
	 */
	static double[] defaultFractions() {
		double[] fractions = new double[values().length];
		for (RequestKind kind : values()) {
			fractions[kind.ordinal()] = kind.fraction;
		}
		return fractions;
	}

}
