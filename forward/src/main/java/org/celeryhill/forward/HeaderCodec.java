package org.celeryhill.forward;

import java.time.Duration;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.OrganisationId;

/**
 * Encodes and decodes the headers that callers, this system and backend servers exchange.
 * Implementations are stateless and thread-safe.
 */
public interface HeaderCodec {

	/**
	 * Decodes the headers of a caller's request.
	 * @param headers the headers, not null
	 * @return the decoded values, never null; malformed values are treated as absent
	 */
	RequestMetadata decodeRequest(HttpHeaders headers);

	/**
	 * Decodes the status and the headers of a backend server's response.
	 * @param response the status line and headers, not null
	 * @return the decoded values, never null
	 */
	ResponseMetadata decodeResponse(HttpResponse response);

	/**
	 * Converts a copy of a caller's headers into the headers for a backend server.
	 * Removes headers that only this system may set.
	 * @param headers the headers to change, not null
	 * @param values the values to set, not null
	 */
	void encodeBackendRequest(HttpHeaders headers, BackendRequestValues values);

	/**
	 * Sets the time after which a refused request may be retried.
	 * @param headers the headers of the response to change, not null
	 * @param delay the time from now, not null
	 */
	void encodeRetryAfter(HttpHeaders headers, Duration delay);

	/**
	 * Values for the headers of a request to a backend server.
	 *
	 * @param server the backend server that the request is intended for, not null
	 * @param remaining the time until the deadline of the request, not null
	 * @param priority the priority at the engine; 0 is the highest
	 * @param resumeAfter the id of the last event that the caller received, not null;
	 * empty for a new stream
	 * @param caller what is known of the caller, not null
	 */
	record BackendRequestValues(BackendServerId server, Duration remaining, int priority, Optional<String> resumeAfter,
			Caller caller) {
	}

	/**
	 * What is known of the caller of a request.
	 *
	 * @param isIdentified whether this system identifies callers, so that the keys and
	 * names of organisations that a caller sent must not reach a backend server
	 * @param organisation the organisation to name to the backend server, not null; empty
	 * if the request has none
	 */
	record Caller(boolean isIdentified, Optional<OrganisationId> organisation) {
	}

}
