package org.celeryhill.entry;

import java.util.Optional;
import java.util.Set;

import org.celeryhill.base.BackendServerId;

/**
 * Where planned stops are read from. Calls block. Thread-safe.
 */
interface StopSource {

	/**
	 * Reads the targets of planned stops that are not done.
	 * @return the backend servers, or empty if they could not be read
	 */
	Optional<Set<BackendServerId>> targets();

}
