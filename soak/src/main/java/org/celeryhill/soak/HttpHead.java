package org.celeryhill.soak;

import java.net.ProtocolException;
import java.util.Locale;
import java.util.Map;

/**
 * First line and headers of an HTTP message. Immutable.
 *
 * @param line the request line or status line, not null
 * @param headers the headers, with names in lower case, not null
 */
record HttpHead(String line, Map<String, String> headers) {

	HttpHead {
		headers = Map.copyOf(headers);
	}

	/**
	 * Returns the value of a header.
	 * @param name the name in any case, not null
	 * @return the value, empty if the header is missing, never null
	 */
	String header(String name) {
		return this.headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
	}

	boolean has(String name) {
		return this.headers.containsKey(name.toLowerCase(Locale.ROOT));
	}

	/**
	 * Returns the status of a response.
	 * @return the status code
	 * @throws ProtocolException if the first line is no status line
	 */
	int status() throws ProtocolException {
		if (!this.line.matches("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?")) {
			throw new ProtocolException("not a status line: " + this.line);
		}
		return Integer.parseInt(this.line.substring(9, 12));
	}

	/**
	 * Returns the method of a request.
	 * @return the method, never null
	 */
	String method() {
		return this.line.split(" ")[0];
	}

	/**
	 * Returns the path and query of a request.
	 * @return the target, never null
	 * @throws ProtocolException if the first line is no request line
	 */
	String target() throws ProtocolException {
		String[] parts = this.line.split(" ");
		if (parts.length != 3) {
			throw new ProtocolException("not a request line: " + this.line);
		}
		return parts[1];
	}

}
