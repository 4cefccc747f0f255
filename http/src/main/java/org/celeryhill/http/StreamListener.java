package org.celeryhill.http;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.util.HeaderMap;

/**
 * Receives one streamed response. All methods are called on the I/O thread of the
 * connection and must not block.
 */
public interface StreamListener {

	/**
	 * Called once when the response head was received.
	 * @param status the HTTP status
	 * @param headers the headers, not null
	 */
	void onHead(int status, HeaderMap headers);

	/**
	 * Called for each chunk of the response body.
	 * @param bytes the chunk, not null, valid only during the call
	 */
	void onBytes(ByteBuffer bytes);

	/**
	 * Called when the response body was received completely according to HTTP. No other
	 * method is called afterwards.
	 */
	void onEnd();

	/**
	 * Called when the request or the response failed. No other method is called
	 * afterwards.
	 * @param cause the cause of the failure, not null
	 * @param isPossiblySent false if certainly no byte of the request was sent
	 */
	void onFailure(IOException cause, boolean isPossiblySent);

}
