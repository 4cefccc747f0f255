package org.celeryhill.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

import org.celeryhill.port.GenerateEvent;

/**
 * Splits the bytes of a stream of server-sent events into events. Not thread-safe.
 */
final class EventStreamParser {

	/** Start of a line that names the type. */
	private static final byte[] EVENT = "event:".getBytes(StandardCharsets.US_ASCII);

	/** Start of a line with the content. */
	private static final byte[] DATA = "data:".getBytes(StandardCharsets.US_ASCII);

	/** No bytes. */
	private static final byte[] EMPTY = new byte[0];

	/** Start of a line whose end has not arrived yet. */
	private byte[] partial = EMPTY;

	/** Content of the current event, empty if there was none yet. */
	private byte[] data = EMPTY;

	/** Type of the current event. */
	private String type = "";

	/**
	 * Adds bytes and collects the events that they complete.
	 * @param bytes the bytes, not null, read to the end
	 * @param events the list that the events are added to, not null
	 * @throws IOException if an event is malformed or longer than
	 * {@link GenerateEventCodec#MAX_EVENT_BYTES}
	 */
	void feed(ByteBuffer bytes, List<GenerateEvent> events) throws IOException {
		int kept = this.partial.length;
		byte[] chunk = Arrays.copyOf(this.partial, kept + bytes.remaining());
		bytes.get(chunk, kept, bytes.remaining());
		int start = 0;
		for (int i = kept; i < chunk.length; i++) {
			if (chunk[i] == '\n') {
				endLine(chunk, start, i, events);
				start = i + 1;
			}
		}
		if (chunk.length - start > GenerateEventCodec.MAX_EVENT_BYTES) {
			throw new IOException("event exceeds " + GenerateEventCodec.MAX_EVENT_BYTES + " bytes");
		}
		this.partial = (start < chunk.length) ? Arrays.copyOfRange(chunk, start, chunk.length) : EMPTY;
	}

	private void endLine(byte[] chunk, int start, int lineEnd, List<GenerateEvent> events) throws IOException {
		boolean hasReturn = lineEnd > start && chunk[lineEnd - 1] == '\r';
		int end = hasReturn ? lineEnd - 1 : lineEnd;
		if (end == start) {
			endEvent(events);
		}
		else if (startsWith(chunk, start, end, DATA)) {
			this.data = Arrays.copyOfRange(chunk, contentStart(chunk, start + DATA.length, end), end);
		}
		else if (startsWith(chunk, start, end, EVENT)) {
			int from = contentStart(chunk, start + EVENT.length, end);
			this.type = new String(chunk, from, end - from, StandardCharsets.UTF_8);
		}
	}

	private void endEvent(List<GenerateEvent> events) throws IOException {
		if (this.data.length > 0) {
			GenerateEventCodec.decode(this.type, this.data, 0, this.data.length).ifPresent(events::add);
		}
		this.data = EMPTY;
		this.type = "";
	}

	private static int contentStart(byte[] chunk, int from, int end) {
		boolean hasSpace = from < end && chunk[from] == ' ';
		return hasSpace ? from + 1 : from;
	}

	private static boolean startsWith(byte[] chunk, int start, int end, byte[] prefix) {
		int prefixEnd = start + prefix.length;
		return prefixEnd <= end && Arrays.equals(chunk, start, prefixEnd, prefix, 0, prefix.length);
	}

}
