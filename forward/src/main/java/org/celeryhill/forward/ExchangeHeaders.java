package org.celeryhill.forward;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Encodes the headers that callers and backend servers send, for tools that take the part
 * of either. {@link HeaderCodec} decodes them. Implementations are found through
 * {@link java.util.ServiceLoader}, so that tools need not know the wire format.
 */
public interface ExchangeHeaders {

	/**
	 * Sets the headers of a caller's request.
	 * @param headers the headers to change, not null
	 * @param requestId the id of the request, not null
	 */
	void encodeCallerRequest(HttpHeaders headers, String requestId);

	/**
	 * Sets the headers of a backend server's response to a request that it has executed.
	 * @param headers the headers to change, not null
	 * @param requestId the id of the request, not null
	 */
	void encodeExecuted(HttpHeaders headers, String requestId);

	/**
	 * Sets the headers of a backend server's response to a request that it has refused
	 * without executing it.
	 * @param headers the headers to change, not null
	 * @param requestId the id of the request, not null
	 */
	void encodeNotExecuted(HttpHeaders headers, String requestId);

}
