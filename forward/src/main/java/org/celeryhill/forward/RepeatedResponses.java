package org.celeryhill.forward;

import java.util.Optional;

import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Finds and skips responses to earlier requests of a connection that its server sends
 * once more. Not thread-safe.
 */
final class RepeatedResponses {

	/** Repeated responses in one exchange after which the server is given up. */
	private static final int MAX_REPEATED_RESPONSES = 16;

	private final CarriedIds carriedIds = new CarriedIds();

	private Optional<String> expectedId = Optional.empty();

	private int count;

	private boolean isSkipping;

	/**
	 * Starts an exchange.
	 * @param id the id that its response has to bear, empty if it bears none
	 */
	void startExchange(Optional<String> id) {
		this.expectedId = id;
		this.count = 0;
		this.isSkipping = false;
		id.ifPresent(this.carriedIds::add);
	}

	/**
	 * Returns whether the connection has carried a request with an id.
	 * @param id the id, empty for a request without one
	 * @return whether an exchange of this connection had the id
	 */
	boolean hasCarried(Optional<String> id) {
		return id.filter(this.carriedIds::contains).isPresent();
	}

	/**
	 * Returns whether a response is that to an earlier request.
	 * @param id the id of the response, empty if it bears none
	 * @return whether the response does not belong to the current exchange
	 */
	boolean isRepeated(Optional<String> id) {
		return hasCarried(id) && !id.equals(this.expectedId);
	}

	/**
	 * Counts a repeated response and begins to skip it.
	 * @param isDelimited whether the end of the response is marked
	 * @return whether it can be skipped, false if the exchange has to be given up
	 */
	boolean startSkipping(boolean isDelimited) {
		this.count++;
		this.isSkipping = isDelimited && this.count <= MAX_REPEATED_RESPONSES;
		return this.isSkipping;
	}

	/**
	 * Skips a message if it is a part of a repeated response.
	 * @param message the message behind the head of the response, not null
	 * @return whether the message was skipped
	 */
	boolean skip(HttpObject message) {
		if (!this.isSkipping) {
			return false;
		}
		this.isSkipping = !(message instanceof LastHttpContent);
		return true;
	}

	/**
	 * Returns the number of repeated responses in the current exchange.
	 * @return the number, which identifies the last of them
	 */
	int count() {
		return this.count;
	}

	/**
	 * Returns whether a repeated response is still being skipped.
	 * @param number the number of the response in the current exchange, from 1
	 * @return whether it is not complete
	 */
	boolean isSkipping(int number) {
		return this.isSkipping && this.count == number;
	}

}
