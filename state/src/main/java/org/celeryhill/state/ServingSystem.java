package org.celeryhill.state;

/**
 * Which system runs a call. Immutable and thread-safe.
 */
public enum ServingSystem {

	/** The legacy serving system. */
	LEGACY,

	/** This system. */
	NEW

}
