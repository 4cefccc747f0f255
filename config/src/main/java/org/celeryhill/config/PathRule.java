package org.celeryhill.config;

import java.util.Locale;
import java.util.Objects;

/**
 * Rule for calls of a plain service. Immutable and thread-safe.
 *
 * @param method the HTTP method in upper case, not null
 * @param path the path below the service; a trailing {@code *} matches any rest, not null
 * @param isIdempotent whether a call may be repeated
 */
public record PathRule(String method, String path, boolean isIdempotent) {

	/** Creates a rule. */
	public PathRule {
		method = Objects.requireNonNull(method, "method").toUpperCase(Locale.ROOT);
		Objects.requireNonNull(path, "path");
	}

	/**
	 * Returns whether the rule applies to a call.
	 * @param callMethod the HTTP method, not null
	 * @param callPath the path below the service without query, not null
	 * @return true if it applies
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
