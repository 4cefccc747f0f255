package org.celeryhill.forward;

import java.time.Duration;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.celeryhill.base.BackendServerId;

/**
 * Names and formats of the headers between callers, this system and backend servers.
 * Implementations are stateless and thread-safe.
 */
public interface HeaderCodec {

	/**
	 * Decodes the headers of a caller.
	 * @param headers the headers, not null
	 * @return what they say, never null; malformed values count as absent
	 */
	RequestMetadata decodeRequest(HttpHeaders headers);

	/**
	 * Decodes the head of an answer.
	 * @param response the head, not null
	 * @return what it says, never null
	 */
	ResponseMetadata decodeResponse(HttpResponse response);

	/**
	 * Changes copied headers of a caller into those for one backend server. Removes what
	 * only this system may set.
	 * @param headers the headers to change, not null
	 * @param values the values to set, not null
	 */
	void encodeBackendRequest(HttpHeaders headers, BackendRequestValues values);

	/**
	 * Sets the time after which a refused caller may ask again.
	 * @param headers the headers of the refusal, not null
	 * @param delay the time, not null
	 */
	void encodeRetryAfter(HttpHeaders headers, Duration delay);

	/**
	 * Values of one send to a backend server.
	 *
	 * @param server the backend server that may run the request
	 * @param remaining the time that is left for it
	 * @param priority the rank at the engine, 0 is the most urgent
	 * @param resumeAfter the id of the last event that was passed on
	 */
	record BackendRequestValues(BackendServerId server, Duration remaining, int priority, Optional<String> resumeAfter) {
	}

}
