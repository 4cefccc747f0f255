package org.celeryhill.fuzz;

/**
 * Thrown by an oracle when a promise does not hold.
 */
final class PromiseBrokenException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	PromiseBrokenException(String message) {
		super(message);
	}

}
