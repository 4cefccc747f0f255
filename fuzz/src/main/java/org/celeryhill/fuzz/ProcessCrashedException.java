package org.celeryhill.fuzz;

/**
 * Ends the step of a process that crashed in the middle of it.
 */
final class ProcessCrashedException extends RuntimeException {

	private static final long serialVersionUID = 1L;

}
