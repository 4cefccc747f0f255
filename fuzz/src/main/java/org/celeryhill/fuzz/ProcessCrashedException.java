package org.celeryhill.fuzz;

/**
 * Thrown to abort the current step of a process that has crashed during the step.
 */
final class ProcessCrashedException extends RuntimeException {

	private static final long serialVersionUID = 1L;

}
