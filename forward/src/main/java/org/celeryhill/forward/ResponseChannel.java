package org.celeryhill.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Sends the response to one request of a caller. Must be used on the event loop; calls
 * after the caller has disconnected have no effect.
 */
public interface ResponseChannel {

	/**
	 * Sends a complete response.
	 * @param status the status, not null
	 * @param headers the headers without hop-by-hop headers, not null
	 * @param body the body, not null; ownership passes to this channel
	 */
	void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

	/**
	 * Sends the status and the headers of a streamed response.
	 * @param status the status, not null
	 * @param headers the headers without hop-by-hop headers, not null
	 */
	void startStream(HttpResponseStatus status, HttpHeaders headers);

	/**
	 * Sends a part of the body of a streamed response.
	 * @param bytes the bytes, not null
	 * @return whether more can be written without buffering
	 */
	boolean write(byte[] bytes);

	/**
	 * Completes a streamed response.
	 */
	void endStream();

	/**
	 * Closes the connection without completing the response.
	 */
	void abort();

}
