package org.celeryhill.http;

import java.io.IOException;
import java.net.ProtocolException;
import java.util.List;
import java.util.Optional;

import okhttp3.Headers;
import okhttp3.Interceptor;
import okhttp3.Response;
import org.celeryhill.base.ResponseHeadSyntax;

/**
 * Fails calls whose responses have heads that are not valid HTTP but accepted by OkHttp.
 * Must be used as a network interceptor. Stateless and thread-safe.
 */
public final class ResponseHeadInterceptor implements Interceptor {

	/**
	 * Interim responses do not reach interceptors, and no request asks for an upgrade.
	 */
	private static final int MIN_FINAL_STATUS = 200;

	private static final String TRANSFER_ENCODING = "Transfer-Encoding";

	private static final String CONTENT_LENGTH = "Content-Length";

	/**
	 * Receives the response of a call and checks its head.
	 * @param chain the interceptor chain, not null
	 * @return the response, never null
	 * @throws IOException if the call fails, or its response is not valid; the connection
	 * is closed then
	 */
	@Override
	public Response intercept(Chain chain) throws IOException {
		Response response = chain.proceed(chain.request());
		Optional<String> fault = findFault(response);
		if (fault.isPresent()) {
			chain.connection().socket().close();
			response.close();
			throw new ProtocolException("response is not valid HTTP: " + fault.get());
		}
		return response;
	}

	private static Optional<String> findFault(Response response) {
		boolean isFinal = response.code() >= MIN_FINAL_STATUS && ResponseHeadSyntax.isStatus(response.code());
		if (!isFinal || !ResponseHeadSyntax.isText(response.message())) {
			return Optional.of("status " + response.code() + " " + response.message());
		}
		return findInvalidHeader(response.headers()).or(() -> findInvalidFraming(response.headers()))
			.map((name) -> "header " + name);
	}

	// OkHttp keeps a line without a colon as the value of an empty name.
	private static Optional<String> findInvalidHeader(Headers headers) {
		for (int i = 0; i < headers.size(); i++) {
			boolean isValid = ResponseHeadSyntax.isHeaderName(headers.name(i))
					&& ResponseHeadSyntax.isText(headers.value(i));
			if (!isValid) {
				return Optional.of(headers.name(i));
			}
		}
		return Optional.empty();
	}

	private static Optional<String> findInvalidFraming(Headers headers) {
		if (!hasAtMostOne(headers, TRANSFER_ENCODING, "(?i)chunked")) {
			return Optional.of(TRANSFER_ENCODING);
		}
		return hasAtMostOne(headers, CONTENT_LENGTH, "[0-9]{1,18}") ? Optional.empty() : Optional.of(CONTENT_LENGTH);
	}

	private static boolean hasAtMostOne(Headers headers, String name, String pattern) {
		List<String> values = headers.values(name);
		return values.isEmpty() || (values.size() == 1 && values.get(0).matches(pattern));
	}

}
