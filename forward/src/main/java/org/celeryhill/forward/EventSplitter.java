package org.celeryhill.forward;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Splits the bytes of an event stream into whole events. Bytes after the last whole event
 * are kept until the rest arrives. Not thread-safe.
 */
public final class EventSplitter {

	private static final int MAX_EVENT_BYTES = 1 << 20;

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private final ByteBuf pending = Unpooled.buffer(256);

	private int scanned;

	/**
	 * Adds bytes of the stream.
	 * @param bytes the bytes, not null; the reader index moves to the end
	 * @return the events that are whole now, in order, never null
	 * @throws IllegalStateException if an event is longer than a megabyte
	 */
	public List<Event> add(ByteBuf bytes) {
		this.pending.writeBytes(bytes);
		List<Event> events = new ArrayList<>();
		int end = findEnd();
		while (end > 0) {
			byte[] raw = new byte[end - this.pending.readerIndex()];
			this.pending.readBytes(raw);
			this.scanned = this.pending.readerIndex();
			events.add(new Event(raw, findId(raw)));
			end = findEnd();
		}
		this.pending.discardReadBytes();
		this.scanned = Math.max(0, this.pending.writerIndex() - 3);
		if (this.pending.readableBytes() > MAX_EVENT_BYTES) {
			throw new IllegalStateException("event is longer than " + MAX_EVENT_BYTES + " bytes");
		}
		return events;
	}

	/**
	 * Returns whether bytes of an event wait for the rest of it.
	 * @return whether there are such bytes
	 */
	public boolean hasPartialEvent() {
		return this.pending.isReadable();
	}

	// An event ends with an empty line, after LF or CR LF.
	private int findEnd() {
		for (int i = Math.max(this.scanned, this.pending.readerIndex()); i < this.pending.writerIndex(); i++) {
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
	 * One whole event of a stream.
	 *
	 * @param bytes its bytes as they arrived, with the empty line at the end
	 * @param id its id, if it has one
	 */
	public record Event(byte[] bytes, Optional<String> id) {
	}

}
