package org.celeryhill.cli;

/**
 * Exit codes of the command-line interface. Immutable and thread-safe.
 */
public enum ExitCode {

	/** The command did what was asked. */
	OK(0),

	/**
	 * The command was understood and not done, such as a conflict or an unmet condition.
	 */
	REFUSED(1),

	/** The command line or the files have errors. */
	INVALID(2),

	/** A service did not answer; the message says whether anything was changed. */
	UNAVAILABLE(3);

	/** Status that the process exits with. */
	private final int status;

	ExitCode(int status) {
		this.status = status;
	}

	/**
	 * Returns the status that the process exits with.
	 * @return the status, from 0 to 3
	 */
	public int toStatus() {
		return this.status;
	}

}
