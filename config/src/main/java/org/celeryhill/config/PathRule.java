package org.celeryhill.config;

import java.util.Locale;
import java.util.Objects;

/**
 * Rule that says whether calls of a plain service are idempotent. Immutable and
 * thread-safe.
 *
 * @param method the HTTP method in upper case, not null
 * @param path the path below the service; a trailing {@code *} matches any suffix, not
 * null
 * @param isIdempotent whether a matching call may be sent again after a failure
 */
public record PathRule(String method, String path, boolean isIdempotent) {

	/** Creates a rule. */
	public PathRule {
		method = Objects.requireNonNull(method, "method").toUpperCase(Locale.ROOT);
		Objects.requireNonNull(path, "path");
	}

	/**
	 * Returns whether the rule applies to a call.
	 * @param callMethod the HTTP method of the call, not null
	 * @param callPath the path below the service without the query, not null
	 * @return true if the rule applies
	 */
	public boolean matches(String callMethod, String callPath) {
		if (!this.method.equalsIgnoreCase(callMethod)) {
			return false;
		}
		if (this.path.endsWith("*")) {
			return callPath.startsWith(this.path.substring(0, this.path.length() - 1));
		}
		return this.path.equals(callPath);
	}

}
