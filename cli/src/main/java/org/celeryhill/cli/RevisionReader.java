package org.celeryhill.cli;

import org.celeryhill.base.RevisionDocument;
import org.celeryhill.state.ConfigurationStore;
import org.celeryhill.state.StoreUnavailable;

/**
 * Reads an accepted revision by number, or the current one. Stateless and thread-safe.
 */
final class RevisionReader {

	private RevisionReader() {
	}

	/**
	 * Reads a revision.
	 * @param store the store of accepted revisions
	 * @param number the number, null for the current revision
	 * @return the revision, or why it could not be read
	 */
	static Result read(ConfigurationStore store, Long number) {
		long revisionNumber = (number != null) ? number : 0;
		if (number == null) {
			ConfigurationStore.HeadResult head = store.readHead();
			if (head instanceof StoreUnavailable failure) {
				return new Unavailable(failure);
			}
			revisionNumber = ((ConfigurationStore.Head) head).head().number();
			if (revisionNumber == 0) {
				return new NotFound("no revision has been accepted yet");
			}
		}
		ConfigurationStore.FetchResult result = store.fetch(revisionNumber);
		if (result instanceof ConfigurationStore.Fetched fetched) {
			return new Found(fetched.document());
		}
		if (result instanceof StoreUnavailable failure) {
			return new Unavailable(failure);
		}
		return new NotFound("revision " + revisionNumber + " has not been accepted; see 'celeryhill history'");
	}

	/** Result of reading a revision. */
	sealed interface Result permits Found, NotFound, Unavailable {

	}

	/**
	 * The revision was read.
	 *
	 * @param document the files and number of the revision
	 */
	record Found(RevisionDocument document) implements Result {

	}

	/**
	 * The revision does not exist.
	 *
	 * @param message the error message for the operator
	 */
	record NotFound(String message) implements Result {

	}

	/**
	 * The store is unavailable.
	 *
	 * @param failure the failed operation
	 */
	record Unavailable(StoreUnavailable failure) implements Result {

	}

}
