package org.celeryhill.forward;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Checks of the heads of responses. Stateless and thread-safe.
 */
final class ResponseHeads {

	/** Also those that are not valid, as they too are the start of a response. */
	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/[0-9]\\.[0-9] [0-9]{3}.*");

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

	/**
	 * Finds a transfer encoding other than chunked, which no request asks for.
	 * @param head the status line and headers, not null
	 * @return the values of the header, empty if it is missing or names chunked only
	 */
	static Optional<String> findUnknownTransferEncoding(HttpResponse head) {
		List<String> values = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
		boolean isChunked = values.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(values.get(0));
		return (values.isEmpty() || isChunked) ? Optional.empty() : Optional.of(String.join(", ", values));
	}

	/**
	 * Returns whether a body holds the head of a response to the request that it answers.
	 * A body that breaks off is filled up with the head that follows it.
	 * @param body the body or a part of it, not null
	 * @param textBehind the first bytes behind the body, empty if none are known, not
	 * null
	 * @param id the id of the request, not null
	 * @return whether a status line begins in the body and either the id follows it or
	 * the head goes on behind the body
	 */
	static boolean holdsHead(byte[] body, String textBehind, String id) {
		if (textBehind.isEmpty() && !mayHoldStatusLine(body)) {
			return false;
		}
		String text = new String(body, StandardCharsets.ISO_8859_1) + textBehind;
		Matcher matcher = STATUS_LINE.matcher(text);
		if (!matcher.find() || matcher.start() >= body.length) {
			return false;
		}
		return !textBehind.isEmpty() || text.indexOf(id, matcher.start()) >= 0;
	}

	private static boolean mayHoldStatusLine(byte[] body) {
		for (int i = 0; i + 4 < body.length; i++) {
			if (body[i] == 'H' && body[i + 1] == 'T' && body[i + 2] == 'T' && body[i + 3] == 'P'
					&& body[i + 4] == '/') {
				return true;
			}
		}
		return false;
	}

	private static Optional<String> findStatusLine(String value) {
		if (!value.contains("HTTP/")) {
			return Optional.empty();
		}
		Matcher matcher = STATUS_LINE.matcher(value);
		return matcher.find() ? Optional.of(matcher.group()) : Optional.empty();
	}

}
