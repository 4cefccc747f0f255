package org.celeryhill.entry;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.ServiceId;
import org.celeryhill.config.OrganisationParameters;

/**
 * A call of a plain service after authentication and validation, without its body.
 * Immutable and thread-safe.
 *
 * @param organisation the organisation of the caller, not null
 * @param parameters the organisation's parameters of the service, not null
 * @param priority the priority class, not null
 * @param method the HTTP method, not null
 * @param path the decoded path below the service, without the query, not null
 * @param rawPath the encoded path and query to send, not null
 * @param headers the request headers to send, by name, not null
 * @param isIdempotent whether the call may be sent repeatedly
 */
record PlainCallTarget(OrganisationId organisation, OrganisationParameters parameters, PriorityClass priority,
		String method, String path, String rawPath, Map<String, String> headers, boolean isIdempotent) {

	/** Supported HTTP methods. */
	private static final Set<String> METHODS = Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE");

	/**
	 * Lower-case names of the request headers that are passed on, besides those that
	 * start with {@code x-}.
	 */
	private static final Set<String> PASSED_HEADERS = Set.of("content-type", "accept", "accept-language", "if-match",
			"if-none-match", "idempotency-key");

	/** Request headers that start with {@code x-} and are not passed on. */
	private static final Set<String> RESERVED_HEADERS = Set.of("x-attempt-id", "x-execution", "x-priority",
			"x-request-id");

	PlainCallTarget {
		headers = Map.copyOf(headers);
	}

	ServiceId service() {
		return this.parameters.service();
	}

	/**
	 * Parses a request with a path of the form {@code /v1/services/{service}/{rest}}.
	 * Whether the call is idempotent is looked up with the decoded path. Paths that
	 * servers may interpret in different ways are rejected, so that no spelling of a path
	 * bypasses the rule of its idempotency.
	 * @param exchange the exchange with the caller, not null
	 * @param prefix the part of the path before the service, not null
	 * @param organisation the organisation of the caller, not null
	 * @param index the configuration, not null
	 * @return the validated call, never null
	 * @throws ApiException if the call is invalid or not allowed
	 */
	static PlainCallTarget parse(HttpServerExchange exchange, String prefix, OrganisationId organisation,
			CallerIndex index) throws ApiException {
		String method = exchange.getRequestMethod().toString();
		if (!METHODS.contains(method)) {
			throw ApiException.notRun(ErrorCode.METHOD_NOT_ALLOWED, "Use one of the methods " + METHODS + ".");
		}
		String decoded = removePrefix(exchange.getRequestPath(), prefix);
		int slash = decoded.indexOf('/');
		if (slash <= 0) {
			throw ApiException.notRun(ErrorCode.NOT_FOUND, "Use a path of the form /v1/services/{service}/{rest}.");
		}
		String path = decoded.substring(slash);
		requireUnambiguous(path);
		OrganisationParameters parameters = index.service(organisation, ServiceId.of(decoded.substring(0, slash)));
		PriorityClass priority = GenerationParser.priority(exchange.getRequestHeaders().getFirst("X-Priority"),
				parameters);
		boolean isIdempotent = index.template(parameters.service())
			.map((template) -> template.isIdempotent(method, path))
			.orElse(false);
		return new PlainCallTarget(organisation, parameters, priority, method, path, rawPath(exchange, prefix),
				headers(exchange), isIdempotent);
	}

	private static String removePrefix(String path, String prefix) {
		return path.startsWith(prefix) ? path.substring(prefix.length()) : path;
	}

	private static String rawPath(HttpServerExchange exchange, String prefix) throws ApiException {
		String uri = exchange.getRequestURI();
		if (exchange.isHostIncludedInRequestURI() || !uri.startsWith(prefix)) {
			throw ApiException.notRun(ErrorCode.INVALID_REQUEST,
					"Send the path in origin form without encoding its start.");
		}
		String rest = removePrefix(uri, prefix);
		String path = rest.substring(Math.max(0, rest.indexOf('/')));
		String query = exchange.getQueryString();
		return query.isEmpty() ? path : path + "?" + query;
	}

	private static void requireUnambiguous(String path) throws ApiException {
		boolean isUnambiguous = !path.contains("//") && !path.contains("/./") && !path.contains("/../")
				&& !path.endsWith("/.") && !path.endsWith("/..")
				&& path.chars().noneMatch((c) -> c < ' ' || c == '\\' || c == ';' || c == '%' || c == '?' || c == '#');
		if (!isUnambiguous) {
			throw ApiException.notRun(ErrorCode.INVALID_REQUEST,
					"The path has empty or dot segments or one of the characters \\ ; % ? #; send a plain path.");
		}
	}

	private static Map<String, String> headers(HttpServerExchange exchange) {
		Map<String, String> headers = new HashMap<>();
		for (HeaderValues values : exchange.getRequestHeaders()) {
			String name = values.getHeaderName().toString().toLowerCase(Locale.ROOT);
			if (PASSED_HEADERS.contains(name) || (name.startsWith("x-") && !RESERVED_HEADERS.contains(name))) {
				headers.put(values.getHeaderName().toString(), values.getFirst());
			}
		}
		return headers;
	}

}
