package org.celeryhill.soak;

import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * How a server treats one request. Immutable; follows from the random source and the
 * faults in force.
 *
 * @param outcome what becomes of the request, not null
 * @param status the status of the response
 * @param workMillis the duration of the run in milliseconds
 * @param bodyBytes the number of bytes that fill the body
 * @param framing how the end of the body is marked, not null
 * @param part the part of the response after which a truncated one breaks off, from 0 to
 * 1; also chooses among the malformed heads
 * @param copy the second copy of the response, not null
 */
record ServerBehaviour(Outcome outcome, int status, int workMillis, int bodyBytes, Framing framing, double part,
		Copy copy) {

	private static final double FAIL_SHARE = 0.3;

	private static final double REFUSE_SHARE = 0.3;

	private static final double RESET_SHARE = 0.15;

	private static final double TRUNCATE_SHARE = 0.15;

	private static final double STUTTER_SHARE = 0.5;

	private static final double MALFORM_SHARE = 0.15;

	private static final int[] FAILURES = { 500, 500, 504, 404, 409 };

	private static final int[] REFUSALS = { 503, 503, 429 };

	private static final int MAX_WORK_MILLIS = 30;

	private static final int MAX_SLOW_WORK_MILLIS = 600;

	private static final int MAX_BODY_BYTES = 40_000;

	private static final int[] BODY_BYTES = { 0, 10, 400, 400, 3000, MAX_BODY_BYTES };

	ServerBehaviour {
		Objects.requireNonNull(outcome, "outcome");
		Objects.requireNonNull(framing, "framing");
		Objects.requireNonNull(copy, "copy");
	}

	/**
	 * Draws a behaviour.
	 * @param random the random source, not null
	 * @param faults the faults in force at the server, not null
	 * @return the behaviour, never null
	 */
	static ServerBehaviour draw(SplittableRandom random, Set<FaultKind> faults) {
		Outcome outcome = Outcome.RUN;
		if (isDrawn(random, faults, FaultKind.REFUSE, REFUSE_SHARE)) {
			outcome = Outcome.REFUSE;
		}
		else if (isDrawn(random, faults, FaultKind.RESET, RESET_SHARE)) {
			outcome = random.nextBoolean() ? Outcome.RESET_BEFORE_RUN : Outcome.RESET_AFTER_RUN;
		}
		else if (isDrawn(random, faults, FaultKind.TRUNCATE, TRUNCATE_SHARE)) {
			outcome = Outcome.TRUNCATE;
		}
		boolean isFailure = isDrawn(random, faults, FaultKind.FAIL, FAIL_SHARE);
		int failure = FAILURES[random.nextInt(FAILURES.length)];
		int refusal = REFUSALS[random.nextInt(REFUSALS.length)];
		int runStatus = isFailure ? failure : 200;
		int work = 1 + random.nextInt(faults.contains(FaultKind.SLOW) ? MAX_SLOW_WORK_MILLIS : MAX_WORK_MILLIS);
		int bytes = BODY_BYTES[random.nextInt(BODY_BYTES.length)];
		Framing framing = Framing.values()[random.nextInt(Framing.values().length)];
		double part = random.nextDouble();
		boolean isCopied = isDrawn(random, faults, FaultKind.STUTTER, STUTTER_SHARE);
		Copy copy = Copy.draw(random);
		if (isDrawn(random, faults, FaultKind.MALFORM, MALFORM_SHARE) && outcome == Outcome.RUN) {
			outcome = Outcome.MALFORM;
		}
		return new ServerBehaviour(outcome, (outcome == Outcome.REFUSE) ? refusal : runStatus, work, bytes, framing,
				part, (isCopied && framing != Framing.CLOSE) ? copy : Copy.NONE);
	}

	// Draws in each case, so that a fault changes nothing else.
	private static boolean isDrawn(SplittableRandom random, Set<FaultKind> faults, FaultKind kind, double share) {
		return random.nextDouble() < share && faults.contains(kind);
	}

	/** What becomes of a request. */
	enum Outcome {

		/** Runs and gets a whole response. */
		RUN,

		/** Gets a response that says that it was not executed. */
		REFUSE,

		/** Does not run; the connection is reset. */
		RESET_BEFORE_RUN,

		/** Runs; the connection is reset in place of a response. */
		RESET_AFTER_RUN,

		/** Runs; the response breaks off. */
		TRUNCATE,

		/** Runs; the head of the response is not valid HTTP. */
		MALFORM

	}

	/** How the end of a body is marked. */
	enum Framing {

		/** By its length. */
		LENGTH,

		/** By an empty chunk. */
		CHUNKS,

		/** By the regular end of the connection. */
		CLOSE

	}

	/**
	 * Second copy of a response on the same connection. Immutable.
	 *
	 * @param time when it is sent, not null
	 * @param bytes the number of bytes after which it breaks off, {@link #WHOLE} for none
	 * @param delayMillis the delay of a late copy in milliseconds
	 */
	record Copy(Time time, int bytes, int delayMillis) {

		static final int WHOLE = Integer.MAX_VALUE;

		static final Copy NONE = new Copy(Time.NEVER, 0, 0);

		/**
		 * About the size of a status line and the next header. A copy that ends there is
		 * most likely to be joined with another response.
		 */
		private static final int FIRST_LINES_BYTES = 40;

		/** About the size of a head. */
		private static final int HEAD_BYTES = 200;

		private static final int MAX_DELAY_MILLIS = 15;

		static Copy draw(SplittableRandom random) {
			Time[] times = { Time.AT_ONCE, Time.LATER, Time.WITH_NEXT, Time.WITH_NEXT };
			Time time = times[random.nextInt(times.length)];
			int[] lengths = { WHOLE, WHOLE, 1 + random.nextInt(FIRST_LINES_BYTES), 1 + random.nextInt(HEAD_BYTES),
					1 + random.nextInt(MAX_BODY_BYTES) };
			return new Copy(time, lengths[random.nextInt(lengths.length)], random.nextInt(MAX_DELAY_MILLIS));
		}

		/** When a copy is sent. */
		enum Time {

			/** Never. */
			NEVER,

			/** Together with the response. */
			AT_ONCE,

			/** After a delay, whatever the connection does then. */
			LATER,

			/** When the next request on the connection has been read. */
			WITH_NEXT

		}

	}

}
