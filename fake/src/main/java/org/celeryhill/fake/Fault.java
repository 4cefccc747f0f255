package org.celeryhill.fake;

/**
 * A fault of one exchange with an external system. Immutable and thread-safe.
 */
public enum Fault {

	/** The exchange works. */
	NONE,

	/** The request is lost and never takes effect; the sender gets no answer. */
	LOST_REQUEST,

	/** The request takes effect, its answer is lost. */
	LOST_ANSWER,

	/** The request takes effect at once, the answer arrives after the delay. */
	DELAYED_ANSWER,

	/** The sender gets no answer and the request takes effect after the delay. */
	DELAYED_EFFECT,

	/** The request takes effect at once and a copy of it arrives after the delay. */
	DUPLICATE,

	/** The sender gets no answer and later requests overtake this one. */
	REORDER,

	/** The service cannot be reached; the sender knows that nothing was sent. */
	DOWN,

	/** The request arrives after the delay and is answered. */
	SLOW

}
