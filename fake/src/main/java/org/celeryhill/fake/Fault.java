package org.celeryhill.fake;

/**
 * Fault that is injected into one exchange with an external system. Immutable and
 * thread-safe.
 */
public enum Fault {

	/** The exchange is not disturbed. */
	NONE,

	/** The request is lost and never takes effect; the sender gets no response. */
	LOST_REQUEST,

	/** The request takes effect, but its response is lost. */
	LOST_ANSWER,

	/** The request takes effect at once, the response arrives after the delay. */
	DELAYED_ANSWER,

	/** The sender gets no response and the request takes effect after the delay. */
	DELAYED_EFFECT,

	/**
	 * The request takes effect at once, and a duplicate of it arrives after the delay.
	 */
	DUPLICATE,

	/** The sender gets no response, and the request takes effect after later ones. */
	REORDER,

	/** The service cannot be reached; the sender knows that nothing was sent. */
	DOWN,

	/** The request takes effect after the delay, and then the response arrives. */
	SLOW

}
