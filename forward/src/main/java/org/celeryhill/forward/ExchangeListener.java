package org.celeryhill.forward;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the events of one exchange with a backend server. Called on the event loop;
 * not called again after {@link #onEnd()} or {@link #onFailure}.
 */
public interface ExchangeListener {

	/**
	 * Returns the id of the request that a response belongs to.
	 * @param response the status line and headers, not null
	 * @return the id, empty if the response bears none
	 */
	default Optional<String> requestIdOf(HttpResponse response) {
		return Optional.empty();
	}

	/**
	 * Called when the status line and the headers of the response arrive.
	 * @param response the status line and headers, not null
	 */
	void onHead(HttpResponse response);

	/**
	 * Called for each part of the response body.
	 * @param bytes the bytes, not null; valid only during the call
	 */
	void onBody(ByteBuf bytes);

	/**
	 * Called after the parts of the response body that arrived together.
	 */
	default void onReadComplete() {
		// Listeners that handle each part at once need no further call.
	}

	/**
	 * Called when the response is complete.
	 */
	void onEnd();

	/**
	 * Called when the exchange ends without a complete response.
	 * @param failure whether the request may have been executed, not null
	 * @param detail a short description of the cause, not null
	 */
	void onFailure(Failure failure, String detail);

	/**
	 * Whether the request of a failed exchange may have been executed.
	 */
	enum Failure {

		/**
		 * No byte of the request was sent.
		 */
		NOT_SENT,

		/**
		 * The request may have reached the backend server.
		 */
		MAY_HAVE_RUN

	}

}
