import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads the messages of HTTP/1.1 for the stand-ins. */
final class Http {

	private Http() {
	}

	/** First line and headers of a message; header names are in lower case. */
	record Head(String line, Map<String, String> headers) {

		String header(String name) {
			return this.headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
		}

		int status() {
			return Integer.parseInt(this.line.split(" ")[1]);
		}

	}

	/** A complete answer. */
	record Answer(Head head, byte[] body) {
	}

	/** Reads a head, returns null if the connection ends before its first byte. */
	static Head readHead(InputStream in) throws IOException {
		String line = readLine(in);
		if (line == null) {
			return null;
		}
		Map<String, String> headers = new TreeMap<>();
		for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
			int colon = header.indexOf(':');
			headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).strip());
		}
		return new Head(line, headers);
	}

	private static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = in.read(); next != '\n'; next = in.read()) {
			if (next < 0) {
				if (line.size() == 0) {
					return null;
				}
				throw new EOFException("connection ended within a line");
			}
			if (next != '\r') {
				line.write(next);
			}
		}
		return line.toString(StandardCharsets.ISO_8859_1);
	}

	/** Reads a body that has a length or comes in chunks; fails if it is not whole. */
	static byte[] readBody(InputStream in, Head head) throws IOException {
		if (!head.header("transfer-encoding").isEmpty()) {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
				body.write(readFully(in, size));
				readLine(in);
			}
			readLine(in);
			return body.toByteArray();
		}
		String length = head.header("content-length");
		return readFully(in, length.isEmpty() ? 0 : Integer.parseInt(length));
	}

	private static int chunkSize(InputStream in) throws IOException {
		String line = readLine(in);
		if (line == null) {
			throw new EOFException("connection ended between chunks");
		}
		return Integer.parseInt(line.split(";")[0].strip(), 16);
	}

	static byte[] readFully(InputStream in, int length) throws IOException {
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("connection ended after " + bytes.length + " of " + length + " bytes");
		}
		return bytes;
	}

	static Answer readAnswer(InputStream in) throws IOException {
		Head head = readHead(in);
		if (head == null) {
			throw new EOFException("connection ended without an answer");
		}
		return new Answer(head, readBody(in, head));
	}

}
