package org.celeryhill.base;

import java.util.Locale;

/**
 * What is known about whether a request ran on a backend server. Immutable and
 * thread-safe.
 */
public enum Execution {

	/** No byte of the request can have reached a backend server. */
	NOT_RUN,

	/** The request may or may not have run. */
	UNKNOWN,

	/** The request ran. */
	RAN;

	/**
	 * Returns the code used in error documents.
	 * @return {@code not_run}, {@code unknown} or {@code ran}
	 */
	public String toCode() {
		return name().toLowerCase(Locale.ROOT);
	}

}
