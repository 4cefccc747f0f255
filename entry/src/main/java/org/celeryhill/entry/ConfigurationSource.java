package org.celeryhill.entry;

import java.util.Optional;
import java.util.OptionalLong;

import org.celeryhill.base.RevisionDocument;

/**
 * Where accepted configurations are read from. Calls block. Thread-safe.
 */
interface ConfigurationSource {

	/**
	 * Reads the number of the latest accepted revision.
	 * @return the number, 0 before the first, or empty if it could not be read
	 */
	OptionalLong head();

	/**
	 * Reads a revision.
	 * @param number the number
	 * @return the revision, or empty if it could not be read
	 */
	Optional<RevisionDocument> fetch(long number);

}
