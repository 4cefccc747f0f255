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
 * Separates hop-by-hop headers, which apply to one connection, from end-to-end headers,
 * which are forwarded.
 */
final class HopByHopHeaders {

	private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect");

	private HopByHopHeaders() {
	}

	// Returns a copy without the hop-by-hop headers and those that Connection lists. A
	// sender cannot remove headers that only make sense end to end by listing them.
	static HttpHeaders copyEndToEnd(HttpHeaders headers, HeaderCodec codec) {
		List<String> listedNames = new ArrayList<>();
		for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
			for (String listed : value.split(",")) {
				String name = listed.strip().toLowerCase(Locale.ROOT);
				if (!codec.isEndToEnd(name)) {
					listedNames.add(name);
				}
			}
		}
		HttpHeaders copy = new DefaultHttpHeaders();
		for (Map.Entry<String, String> header : headers) {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!HOP_BY_HOP.contains(name) && !listedNames.contains(name)) {
				copy.add(header.getKey(), header.getValue());
			}
		}
		return copy;
	}

	// Sets Content-Length if the request has a body or its method allows one.
	static void setContentLength(HttpHeaders headers, IncomingRequest original, int length) {
		boolean hasBody = length > 0 || original.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
				|| original.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
		if (hasBody || HttpMethod.POST.equals(original.method()) || HttpMethod.PUT.equals(original.method())) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, length);
		}
	}

	// Returns whether the body has a content encoding, which callers do not request.
	static boolean hasContentEncoding(HttpHeaders headers) {
		return headers.contains(HttpHeaderNames.CONTENT_ENCODING);
	}

}
