package org.celeryhill.soak;

/**
 * Bounds of the platform that the checks use.
 */
final class Bounds {

	/** Time from SIGTERM to SIGKILL. */
	static final long GRACE_MILLIS = 8000;

	/** Time after a disruption of a host for which its cuts are excused. */
	static final long CONTACT_MILLIS = 3000;

	/** Time after the last fault within which each daemon serves. */
	static final long RECOVERY_MILLIS = 12_000;

	/** Memory of a host. */
	static final long MEMORY_KB = 430 * 1000;

	/** Time after which a request that is cut off had been read. */
	static final long LOSS_SLACK_MILLIS = 200;

	/** Requests that may be cut off by a host without disruption or planned stop. */
	static final int UNPLANNED_CUTS = 3;

	private Bounds() {
	}

}
