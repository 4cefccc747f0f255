package org.celeryhill.fuzz;

/**
 * Thrown by the oracle of a simulation when a promise is violated.
 */
final class PromiseBrokenException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	PromiseBrokenException(String message) {
		super(message);
	}

}
