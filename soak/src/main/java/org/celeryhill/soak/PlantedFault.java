package org.celeryhill.soak;

/**
 * Fault of a stand-in that breaks a promise, to show that the soak finds it.
 */
enum PlantedFault {

	/** All stand-ins work. */
	NONE,

	/** Servers report another body than they send. */
	OTHER_BODY,

	/** Servers report another status than they send. */
	OTHER_STATUS,

	/** Servers run each request twice. */
	SECOND_RUN,

	/** Servers run a request and then refuse it as not run. */
	FALSE_REFUSAL,

	/** Servers run requests with another target. */
	OTHER_TARGET,

	/** Engines leave out an event. */
	MISSING_EVENT,

	/** Callers take every fourth response for a connection that ended without one. */
	LOST_RESPONSE,

	/** Callers take responses of the servers for a denial by the system. */
	DENIAL,

	/** Daemons are killed without a record of it. */
	HIDDEN_KILL,

	/** The memory of the daemons is read as a multiple. */
	LARGE_MEMORY,

	/** No request reaches the first daemon. */
	IDLE_DAEMON

}
