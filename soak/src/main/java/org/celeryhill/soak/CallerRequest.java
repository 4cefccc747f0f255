package org.celeryhill.soak;

import java.util.Objects;

/**
 * Request of a caller. Immutable.
 *
 * @param id the id of the attempt, not null
 * @param method the method, not null
 * @param target the path and query, not null
 * @param body the body, not null
 */
record CallerRequest(String id, String method, String target, BodyDigest body) {

	CallerRequest {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(method, "method");
		Objects.requireNonNull(target, "target");
		Objects.requireNonNull(body, "body");
	}

	RequestKind kind() {
		return RequestKind.of(this.target);
	}

	/**
	 * Returns whether a server got the same request.
	 * @param other what a server read, not null
	 * @return whether method, target and body are equal
	 */
	boolean hasSameContent(CallerRequest other) {
		return this.method.equals(other.method) && this.target.equals(other.target) && this.body.equals(other.body);
	}

}
