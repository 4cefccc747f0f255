package org.celeryhill.forward;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Splits a stream of server-sent events into complete events. The bytes of an incomplete
 * event are buffered until the rest arrives. Not thread-safe.
 */
public final class EventSplitter {

	private static final int MAX_EVENT_BYTES = 1 << 20;

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private final ByteBuf pending = Unpooled.buffer(256);

	private int scannedIndex;

	/**
	 * Adds bytes of the stream.
	 * @param bytes the bytes, not null; the reader index moves to the end
	 * @return the events that these bytes complete, in order, never null
	 * @throws IllegalStateException if an incomplete event is longer than 1 MiB
	 */
	public List<Event> add(ByteBuf bytes) {
		this.pending.writeBytes(bytes);
		List<Event> events = new ArrayList<>();
		int end = findEventEnd();
		while (end > 0) {
			byte[] eventBytes = new byte[end - this.pending.readerIndex()];
			this.pending.readBytes(eventBytes);
			this.scannedIndex = this.pending.readerIndex();
			events.add(new Event(eventBytes, findId(eventBytes)));
			end = findEventEnd();
		}
		this.pending.discardReadBytes();
		this.scannedIndex = Math.max(0, this.pending.writerIndex() - 3);
		if (this.pending.readableBytes() > MAX_EVENT_BYTES) {
			throw new IllegalStateException("event is longer than " + MAX_EVENT_BYTES + " bytes");
		}
		return events;
	}

	/**
	 * Returns whether an incomplete event is buffered.
	 * @return whether bytes are buffered
	 */
	public boolean hasIncompleteEvent() {
		return this.pending.isReadable();
	}

	// Returns the index after the empty line (LF or CR LF) that ends the first event, or
	// -1 if the event is incomplete.
	private int findEventEnd() {
		for (int i = Math.max(this.scannedIndex, this.pending.readerIndex()); i < this.pending.writerIndex(); i++) {
			if (this.pending.getByte(i) != '\n') {
				continue;
			}
			int next = i + 1;
			if (next < this.pending.writerIndex() && this.pending.getByte(next) == '\r') {
				next++;
			}
			if (next < this.pending.writerIndex() && this.pending.getByte(next) == '\n') {
				return next + 1;
			}
		}
		return -1;
	}

	private static Optional<String> findId(byte[] raw) {
		int start = 0;
		while (start < raw.length) {
			int end = start;
			while (end < raw.length && raw[end] != '\n') {
				end++;
			}
			if (isIdLine(raw, start, end)) {
				String value = new String(raw, start + ID_FIELD.length, end - start - ID_FIELD.length,
						StandardCharsets.UTF_8);
				return Optional.of(value.strip());
			}
			start = end + 1;
		}
		return Optional.empty();
	}

	private static boolean isIdLine(byte[] raw, int start, int end) {
		if (end - start < ID_FIELD.length) {
			return false;
		}
		for (int i = 0; i < ID_FIELD.length; i++) {
			if (raw[start + i] != ID_FIELD[i]) {
				return false;
			}
		}
		return true;
	}

	/**
	 * A complete event of a stream.
	 *
	 * @param bytes the bytes of the event as received, including the empty line at the
	 * end
	 * @param id the value of its id field, empty if it has none
	 */
	public record Event(byte[] bytes, Optional<String> id) {
	}

}
