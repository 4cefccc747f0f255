package org.celeryhill.cli;

/**
 * Exit codes of the command-line interface. Immutable and thread-safe.
 */
public enum ExitCode {

	/** The command succeeded. */
	OK(0),

	/**
	 * The command was valid but was not carried out, such as after a conflict or because
	 * a condition was not met.
	 */
	REFUSED(1),

	/** The command line or the input files are invalid. */
	INVALID(2),

	/**
	 * A service did not respond, or the command failed unexpectedly; an error message
	 * about the stores says whether anything was changed.
	 */
	UNAVAILABLE(3);

	/** Exit status of the process. */
	private final int status;

	ExitCode(int status) {
		this.status = status;
	}

	/**
	 * Returns the exit status of the process.
	 * @return the status, from 0 to 3
	 */
	public int toStatus() {
		return this.status;
	}

}
