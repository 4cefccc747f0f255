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

	/** Bytes of the current line, without its end. */
	private byte[] line = new byte[256];

	/** Number of bytes in {@link #line}. */
	private int lineLength;

	/** Content of the current event, empty if there was none yet. */
	private byte[] data = new byte[0];

	/** Type of the current event. */
	private String type = "";

	/**
	 * Adds bytes and collects the events that they complete.
	 * @param bytes the bytes, not null, read to the end
	 * @param events the list that the events are added to, not null
	 * @throws IOException if an event is malformed or longer than
	 * {@link StreamFormat#MAX_EVENT_BYTES}
	 */
	void feed(ByteBuffer bytes, List<GenerateEvent> events) throws IOException {
		while (bytes.hasRemaining()) {
			byte b = bytes.get();
			if (b == '\n') {
				endLine(events);
				this.lineLength = 0;
			}
			else {
				append(b);
			}
		}
	}

	private void append(byte b) throws IOException {
		if (this.lineLength == this.line.length) {
			if (this.lineLength >= StreamFormat.MAX_EVENT_BYTES) {
				throw new IOException("event exceeds " + StreamFormat.MAX_EVENT_BYTES + " bytes");
			}
			this.line = Arrays.copyOf(this.line, this.line.length * 2);
		}
		this.line[this.lineLength++] = b;
	}

	private void endLine(List<GenerateEvent> events) throws IOException {
		if (this.lineLength > 0 && this.line[this.lineLength - 1] == '\r') {
			this.lineLength--;
		}
		if (this.lineLength == 0) {
			endEvent(events);
		}
		else if (startsWith(EVENT)) {
			int from = contentStart(EVENT.length);
			this.type = new String(this.line, from, this.lineLength - from, StandardCharsets.UTF_8);
		}
		else if (startsWith(DATA)) {
			this.data = Arrays.copyOfRange(this.line, contentStart(DATA.length), this.lineLength);
		}
	}

	private void endEvent(List<GenerateEvent> events) throws IOException {
		if (this.data.length > 0) {
			StreamFormat.read(this.type, this.data, 0, this.data.length).ifPresent(events::add);
		}
		this.data = new byte[0];
		this.type = "";
	}

	private int contentStart(int prefixLength) {
		boolean hasSpace = prefixLength < this.lineLength && this.line[prefixLength] == ' ';
		return hasSpace ? prefixLength + 1 : prefixLength;
	}

	private boolean startsWith(byte[] prefix) {
		return this.lineLength >= prefix.length && Arrays.equals(this.line, 0, prefix.length, prefix, 0, prefix.length);
	}

}
