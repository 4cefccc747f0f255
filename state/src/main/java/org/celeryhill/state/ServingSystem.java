package org.celeryhill.state;

/** The serving system that executes a call. Immutable and thread-safe. */
public enum ServingSystem {

	/** The legacy serving system. */
	LEGACY,

	/** The system of this repository, which replaces the legacy one. */
	NEW

}
