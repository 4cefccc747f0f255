package org.celeryhill.soak;

import java.util.Objects;

/**
 * Complete response that a caller got. Immutable.
 *
 * @param status the status
 * @param signature the signature of the run, empty if it has none, not null
 * @param body the body, not null
 */
record CallerResponse(int status, String signature, BodyDigest body) {

	CallerResponse {
		Objects.requireNonNull(signature, "signature");
		Objects.requireNonNull(body, "body");
	}

	boolean isSuccess() {
		return this.status / 100 == 2;
	}

	/**
	 * Returns whether the status promises that the request has not run and never will.
	 * @return whether it does
	 */
	boolean isRefusal() {
		return this.status == 503 || this.status == 429 || this.status == 408 || this.status == 421;
	}

	/**
	 * Returns whether the system itself rejects the request as wrong.
	 * @return whether it does
	 */
	boolean isDenial() {
		return this.signature.isEmpty() && (this.status / 100 == 3 || (this.status / 100 == 4 && !isRefusal()));
	}

}
