package org.celeryhill.cli;

import org.celeryhill.base.RevisionDocument;
import org.celeryhill.state.ConfigurationStore;
import org.celeryhill.state.StoreUnavailable;

/**
 * Reads an accepted revision, by number or the current one. Stateless and thread-safe.
 */
final class RevisionReader {

	private RevisionReader() {
	}

	/**
	 * Reads a revision.
	 * @param store the store
	 * @param number the number, null for the current revision
	 * @return the result
	 */
	static Result read(ConfigurationStore store, Long number) {
		long wanted = (number != null) ? number : 0;
		if (number == null) {
			ConfigurationStore.HeadResult head = store.readHead();
			if (head instanceof StoreUnavailable failure) {
				return new Failed(failure);
			}
			wanted = ((ConfigurationStore.Head) head).head().number();
			if (wanted == 0) {
				return new Missing("no revision has been accepted yet");
			}
		}
		ConfigurationStore.FetchResult result = store.fetch(wanted);
		if (result instanceof ConfigurationStore.Fetched fetched) {
			return new Document(fetched.document());
		}
		if (result instanceof StoreUnavailable failure) {
			return new Failed(failure);
		}
		return new Missing("revision " + wanted + " has not been accepted; see 'celeryhill history'");
	}

	/** Result of a read. */
	sealed interface Result permits Document, Missing, Failed {

	}

	/**
	 * The revision.
	 *
	 * @param document the files under their number
	 */
	record Document(RevisionDocument document) implements Result {

	}

	/**
	 * There is no such revision.
	 *
	 * @param message why
	 */
	record Missing(String message) implements Result {

	}

	/**
	 * The stores gave no answer.
	 *
	 * @param failure the failure
	 */
	record Failed(StoreUnavailable failure) implements Result {

	}

}
