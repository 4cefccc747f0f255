package org.celeryhill.http;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.util.HeaderMap;

/**
 * Receives one streamed answer. All methods run on one I/O thread and must not block.
 */
public interface StreamListener {

	/**
	 * Receives the head of the answer.
	 * @param status the HTTP status
	 * @param headers the headers, not null
	 */
	void onHead(int status, HeaderMap headers);

	/**
	 * Receives a part of the body.
	 * @param bytes the bytes, not null, only valid during the call
	 */
	void onBytes(ByteBuffer bytes);

	/** The body has ended as HTTP says; nothing follows. */
	void onEnd();

	/**
	 * The exchange failed; nothing follows.
	 * @param cause the failure, not null
	 * @param isPossiblySent false if certainly no byte of the request has left
	 */
	void onFailure(IOException cause, boolean isPossiblySent);

}
