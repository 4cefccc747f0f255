package org.celeryhill.soak;

import java.util.Objects;

/**
 * Run of a request at a backend server. Immutable.
 *
 * @param connection the server and its connection, not null
 * @param signature the signature of the run, which no other run has, not null
 * @param status the status of its response
 * @param body the body of its response, not null
 * @param behaviour how the server treats the request, not null
 */
record Run(String connection, String signature, int status, BodyDigest body, ServerBehaviour behaviour) {

	Run {
		Objects.requireNonNull(connection, "connection");
		Objects.requireNonNull(signature, "signature");
		Objects.requireNonNull(body, "body");
		Objects.requireNonNull(behaviour, "behaviour");
	}

}
