package org.celeryhill.forward;

import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Checks of the heads of responses. Stateless and thread-safe.
 */
final class ResponseHeads {

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-9][0-9]{2}(?![0-9]).*");

	private ResponseHeads() {
	}

	/**
	 * Finds the status line of another response in a head. A response that breaks off in
	 * its reason phrase or in a header is read as one head with the response that follows
	 * it.
	 * @param head the status line and headers, not null
	 * @return the text from the embedded status line on, empty if there is none
	 */
	static Optional<String> findEmbeddedStatusLine(HttpResponse head) {
		Optional<String> text = findStatusLine(head.status().reasonPhrase());
		if (text.isPresent()) {
			return text;
		}
		for (Map.Entry<String, String> header : head.headers()) {
			text = findStatusLine(header.getValue());
			if (text.isPresent()) {
				return text;
			}
		}
		return Optional.empty();
	}

	private static Optional<String> findStatusLine(String value) {
		if (!value.contains("HTTP/1.")) {
			return Optional.empty();
		}
		Matcher matcher = STATUS_LINE.matcher(value);
		return matcher.find() ? Optional.of(matcher.group()) : Optional.empty();
	}

}
