package org.celeryhill.soak;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes the responses of the backend servers. Stateless and thread-safe.
 */
final class ResponseWriter {

	private static final int CHUNKS = 3;

	private ResponseWriter() {
	}

	/**
	 * Encodes the response of a run.
	 * @param id the id of the request, not null
	 * @param run the run, not null
	 * @param body the body, not null
	 * @return the bytes, never null
	 */
	static byte[] encodeRun(String id, Run run, byte[] body) {
		String head = signedHead(id, run);
		return switch (run.behaviour().framing()) {
			case LENGTH -> join(head + "Content-Length: " + body.length + "\r\n\r\n", body);
			case CHUNKS -> encodeChunks(head + "Transfer-Encoding: chunked\r\n\r\n", body);
			case CLOSE -> join(head + "Connection: close\r\n\r\n", body);
		};
	}

	/**
	 * Encodes a response that says that the request was not executed.
	 * @param id the id of the request, not null
	 * @param status the status
	 * @return the bytes, never null
	 */
	static byte[] encodeRefusal(String id, int status) {
		return join(head(id, status) + Wire.NOT_EXECUTED + ": 1\r\nContent-Length: 0\r\n\r\n", new byte[0]);
	}

	/**
	 * Encodes the response to a health check.
	 * @param server the id of the server, not null
	 * @return the bytes, never null
	 */
	static byte[] encodeHealth(String server) {
		return join("HTTP/1.1 200 OK\r\n" + Wire.INSTANCE_ID + ": " + server + "\r\nContent-Length: 0\r\n\r\n",
				new byte[0]);
	}

	/**
	 * Encodes the response of a run that sends events.
	 * @param id the id of the request, not null
	 * @param run the run, not null
	 * @param events the events, not null
	 * @return the head, each event and the end, never null
	 */
	static List<byte[]> encodeStream(String id, Run run, List<byte[]> events) {
		List<byte[]> parts = new ArrayList<>();
		String head = signedHead(id, run).replace("text/plain", "text/event-stream");
		parts.add(join(head + "Transfer-Encoding: chunked\r\n\r\n", new byte[0]));
		for (byte[] event : events) {
			parts.add(join(
					Integer.toHexString(event.length) + "\r\n" + new String(event, StandardCharsets.US_ASCII) + "\r\n",
					new byte[0]));
		}
		parts.add(join("0\r\n\r\n", new byte[0]));
		return parts;
	}

	/**
	 * Encodes the response to a question about the state of an engine.
	 * @param report the state, not null
	 * @return the bytes, never null
	 */
	static byte[] encodeReport(String report) {
		return join("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + report.length()
				+ "\r\n\r\n" + report, new byte[0]);
	}

	private static String signedHead(String id, Run run) {
		return head(id, run.status()) + Wire.SIGNATURE + ": " + run.signature() + "\r\nContent-Type: text/plain\r\n";
	}

	private static String head(String id, int status) {
		return "HTTP/1.1 " + status + " Text\r\n" + Wire.ATTEMPT_ID + ": " + id + "\r\n" + Wire.SERVER_LOAD
				+ ": 1,0,8\r\n";
	}

	private static byte[] encodeChunks(String head, byte[] body) {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		write(out, head);
		int size = Math.max(1, (body.length + CHUNKS - 1) / CHUNKS);
		for (int from = 0; from < body.length; from += size) {
			int length = Math.min(size, body.length - from);
			write(out, Integer.toHexString(length) + "\r\n");
			out.write(body, from, length);
			write(out, "\r\n");
		}
		write(out, "0\r\n\r\n");
		return out.toByteArray();
	}

	private static byte[] join(String head, byte[] body) {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		write(out, head);
		out.writeBytes(body);
		return out.toByteArray();
	}

	private static void write(ByteArrayOutputStream out, String text) {
		out.writeBytes(text.getBytes(StandardCharsets.US_ASCII));
	}

}
