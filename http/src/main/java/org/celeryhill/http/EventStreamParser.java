package org.celeryhill.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

import org.celeryhill.port.GenerateEvent;

/**
 * Incremental parser of server-sent events. It accepts chunks that end anywhere within an
 * event. Not thread-safe.
 */
final class EventStreamParser {

	/** Prefix of the line with the event type. */
	private static final byte[] EVENT_PREFIX = "event:".getBytes(StandardCharsets.US_ASCII);

	/** Prefix of the line with the JSON data of the event. */
	private static final byte[] DATA_PREFIX = "data:".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] EMPTY = new byte[0];

	/** Bytes of a line whose end has not been received yet. */
	private byte[] partialLine = EMPTY;

	/** Data of the current event, empty if no data line was received yet. */
	private byte[] data = EMPTY;

	/** Type of the current event, empty if no type line was received yet. */
	private String type = "";

	/**
	 * Parses a chunk and adds the events that it completes.
	 * @param bytes the chunk, not null; consumed completely
	 * @param events the list to add the events to, not null
	 * @throws IOException if an event is malformed or a line is longer than
	 * {@link GenerateEventCodec#MAX_EVENT_BYTES}
	 */
	void parse(ByteBuffer bytes, List<GenerateEvent> events) throws IOException {
		int partialLength = this.partialLine.length;
		byte[] chunk = Arrays.copyOf(this.partialLine, partialLength + bytes.remaining());
		bytes.get(chunk, partialLength, bytes.remaining());
		int start = 0;
		for (int i = partialLength; i < chunk.length; i++) {
			if (chunk[i] == '\n') {
				processLine(chunk, start, i, events);
				start = i + 1;
			}
		}
		if (chunk.length - start > GenerateEventCodec.MAX_EVENT_BYTES) {
			throw new IOException("event exceeds " + GenerateEventCodec.MAX_EVENT_BYTES + " bytes");
		}
		this.partialLine = (start < chunk.length) ? Arrays.copyOfRange(chunk, start, chunk.length) : EMPTY;
	}

	private void processLine(byte[] chunk, int start, int lineEnd, List<GenerateEvent> events) throws IOException {
		boolean hasReturn = lineEnd > start && chunk[lineEnd - 1] == '\r';
		int end = hasReturn ? lineEnd - 1 : lineEnd;
		if (end == start) {
			dispatchEvent(events);
		}
		else if (startsWith(chunk, start, end, DATA_PREFIX)) {
			this.data = Arrays.copyOfRange(chunk, skipLeadingSpace(chunk, start + DATA_PREFIX.length, end), end);
		}
		else if (startsWith(chunk, start, end, EVENT_PREFIX)) {
			int from = skipLeadingSpace(chunk, start + EVENT_PREFIX.length, end);
			this.type = new String(chunk, from, end - from, StandardCharsets.UTF_8);
		}
	}

	private void dispatchEvent(List<GenerateEvent> events) throws IOException {
		if (this.data.length > 0) {
			GenerateEventCodec.decode(this.type, this.data, 0, this.data.length).ifPresent(events::add);
		}
		this.data = EMPTY;
		this.type = "";
	}

	private static int skipLeadingSpace(byte[] chunk, int from, int end) {
		boolean hasSpace = from < end && chunk[from] == ' ';
		return hasSpace ? from + 1 : from;
	}

	private static boolean startsWith(byte[] chunk, int start, int end, byte[] prefix) {
		int prefixEnd = start + prefix.length;
		return prefixEnd <= end && Arrays.equals(chunk, start, prefixEnd, prefix, 0, prefix.length);
	}

}
