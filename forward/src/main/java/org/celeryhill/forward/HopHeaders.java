package org.celeryhill.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * Separates headers that concern one connection only from those that are passed on.
 */
final class HopHeaders {

	private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect");

	private HopHeaders() {
	}

	// Returns a copy without the headers of the connection and those that it names.
	static HttpHeaders endToEnd(HttpHeaders headers) {
		List<String> named = new ArrayList<>();
		for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
			for (String name : value.split(",")) {
				named.add(name.strip().toLowerCase(Locale.ROOT));
			}
		}
		HttpHeaders copy = new DefaultHttpHeaders();
		for (Map.Entry<String, String> header : headers) {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!HOP_BY_HOP.contains(name) && !named.contains(name)) {
				copy.add(header.getKey(), header.getValue());
			}
		}
		return copy;
	}

	// Sets the length of a request's body where it has or could have one.
	static void setLength(HttpHeaders headers, IncomingRequest original, int length) {
		boolean hasBody = length > 0 || original.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
				|| original.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
		if (hasBody || HttpMethod.POST.equals(original.method()) || HttpMethod.PUT.equals(original.method())) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, length);
		}
	}

	// Returns whether the body is encoded, which no caller asks for.
	static boolean isEncoded(HttpHeaders headers) {
		return headers.contains(HttpHeaderNames.CONTENT_ENCODING);
	}

}
