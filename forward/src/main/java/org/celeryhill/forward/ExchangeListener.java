package org.celeryhill.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives what happens to one request at a backend server. All calls come on the event
 * loop; after {@link #onEnd()} or {@link #onFailure} there are no more.
 */
public interface ExchangeListener {

	/**
	 * Called when the head of the answer arrives.
	 * @param response the head, not null
	 */
	void onHead(HttpResponse response);

	/**
	 * Called for each piece of the answer's body.
	 * @param bytes the bytes, not null; valid during the call only
	 */
	void onBody(ByteBuf bytes);

	/**
	 * Called when the answer is complete.
	 */
	void onEnd();

	/**
	 * Called when the exchange ends without a complete answer.
	 * @param failure what is known of the request, not null
	 * @param detail the cause in a few words, not null
	 */
	void onFailure(Failure failure, String detail);

	/**
	 * What is known of a request whose exchange failed.
	 */
	enum Failure {

		/**
		 * No byte of the request left this process.
		 */
		NOT_SENT,

		/**
		 * The request may have reached the backend server.
		 */
		MAY_HAVE_RUN

	}

}
