package org.celeryhill.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.ProtocolException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

import org.celeryhill.base.ResponseHeadSyntax;

/**
 * Reads the HTTP messages of one connection. Strict, so that bytes that are no message
 * are noticed. Not thread-safe.
 */
final class HttpReader {

	private static final int MAX_LINE_BYTES = 64 * 1024;

	private final InputStream in;

	HttpReader(InputStream in) {
		this.in = new BufferedInputStream(in);
	}

	/**
	 * Reads a head.
	 * @return the head, null if the connection ends before its first byte
	 * @throws ProtocolException if the bytes are no head
	 * @throws IOException if the connection fails or ends within the head
	 */
	HttpHead readHead() throws IOException {
		String line = readLine();
		if (line == null) {
			return null;
		}
		Map<String, String> headers = new HashMap<>();
		for (String header = requireLine(); !header.isEmpty(); header = requireLine()) {
			if (!ResponseHeadSyntax.isHeaderLine(header)) {
				throw new ProtocolException("not a header: " + header);
			}
			int colon = header.indexOf(':');
			headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).strip());
		}
		return new HttpHead(line, headers);
	}

	/**
	 * Reads a body that has a length or comes in chunks.
	 * @param head the head of the message, not null
	 * @return the whole body, empty if the head announces none, never null
	 * @throws IOException if the body is not whole
	 */
	byte[] readBody(HttpHead head) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		readBody(head, body);
		return body.toByteArray();
	}

	private void readBody(HttpHead head, ByteArrayOutputStream body) throws IOException {
		if (!head.has("Transfer-Encoding")) {
			String length = head.header("Content-Length");
			body.writeBytes(readFully(length.isEmpty() ? 0 : parse(length, 10)));
			return;
		}
		for (int size = readChunkSize(); size > 0; size = readChunkSize()) {
			body.writeBytes(readFully(size));
			requireEmptyLine();
		}
		requireEmptyLine();
	}

	/**
	 * Reads the body of a response, which may also last until the connection ends.
	 * @param head the head of the response, not null
	 * @param body takes the body; the whole chunks of one that is not whole, not null
	 * @throws IOException if the body is not whole
	 */
	void readResponseBody(HttpHead head, ByteArrayOutputStream body) throws IOException {
		if (head.has("Transfer-Encoding") || head.has("Content-Length")) {
			readBody(head, body);
		}
		else {
			this.in.transferTo(body);
		}
	}

	/**
	 * Returns whether bytes have arrived that were not read.
	 * @return whether there are any
	 * @throws IOException if the connection has failed
	 */
	boolean hasUnreadBytes() throws IOException {
		return this.in.available() > 0;
	}

	private int readChunkSize() throws IOException {
		return parse(requireLine().split(";")[0].strip(), 16);
	}

	private static int parse(String number, int radix) throws ProtocolException {
		try {
			int length = Integer.parseInt(number, radix);
			if (length >= 0) {
				return length;
			}
		}
		catch (NumberFormatException ex) {
			// Fails below.
		}
		throw new ProtocolException("not a length: " + number);
	}

	private void requireEmptyLine() throws IOException {
		String line = requireLine();
		if (!line.isEmpty()) {
			throw new ProtocolException("not the end of a chunk: " + line);
		}
	}

	private byte[] readFully(int length) throws IOException {
		byte[] bytes = this.in.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("connection ended after " + bytes.length + " of " + length + " bytes");
		}
		return bytes;
	}

	private String requireLine() throws IOException {
		String line = readLine();
		if (line == null) {
			throw new EOFException("connection ended within a message");
		}
		return line;
	}

	private String readLine() throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = this.in.read(); next != '\n'; next = this.in.read()) {
			if (next < 0 && line.size() == 0) {
				return null;
			}
			if (next < 0) {
				throw new EOFException("connection ended within a line");
			}
			if (line.size() == MAX_LINE_BYTES) {
				throw new ProtocolException("line too long");
			}
			if (next != '\r') {
				line.write(next);
			}
		}
		return line.toString(StandardCharsets.ISO_8859_1);
	}

}
