package org.celeryhill.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Takes the answer to one request of a caller. Must be used on the event loop; calls
 * after the caller has gone have no effect.
 */
public interface ResponseChannel {

	/**
	 * Sends a whole answer.
	 * @param status the status, not null
	 * @param headers the headers without those of the connection, not null
	 * @param body the body, not null; released by this call
	 */
	void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

	/**
	 * Sends the head of a streamed answer.
	 * @param status the status, not null
	 * @param headers the headers without those of the connection, not null
	 */
	void startStream(HttpResponseStatus status, HttpHeaders headers);

	/**
	 * Sends a piece of a streamed answer.
	 * @param bytes the bytes, not null
	 * @return whether the caller takes more without delay
	 */
	boolean write(byte[] bytes);

	/**
	 * Ends a streamed answer as complete.
	 */
	void endStream();

	/**
	 * Closes the connection without completing the answer.
	 */
	void abort();

}
