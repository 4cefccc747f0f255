package org.celeryhill.forward;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

/**
 * Tests for {@link EventSplitter}.
 */
class EventSplitterTests {

	private static final String STREAM = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c\n\n";

	// Guards against events that are split or merged at packet boundaries.
	@Test
	void splitsEventsIndependentlyOfPacketBoundaries() {
		byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
		for (int size = 1; size <= bytes.length; size++) {
			EventSplitter splitter = new EventSplitter();
			List<String> ids = new ArrayList<>();
			StringBuilder joined = new StringBuilder();
			for (int at = 0; at < bytes.length; at += size) {
				int length = Math.min(size, bytes.length - at);
				for (EventSplitter.Event event : splitter.add(Unpooled.wrappedBuffer(bytes, at, length))) {
					ids.add(event.id().orElse("-"));
					joined.append(new String(event.bytes(), StandardCharsets.UTF_8));
				}
			}
			assertThat(ids).as("pieces of %d bytes", size).containsExactly("1", "2", "-", "3");
			assertThat(joined.toString()).isEqualTo(STREAM);
			assertThat(splitter.hasIncompleteEvent()).isFalse();
		}
	}

	// Guards against an incomplete event that is returned as a complete one.
	@Test
	void buffersIncompleteEvent() {
		EventSplitter splitter = new EventSplitter();
		assertThat(splitter.add(Unpooled.copiedBuffer("id: 1\ndata: a\n", StandardCharsets.UTF_8))).isEmpty();
		assertThat(splitter.hasIncompleteEvent()).isTrue();
	}

	// Guards against a backend server that exhausts the memory with an endless event.
	@Test
	void rejectsOversizedIncompleteEvent() {
		EventSplitter splitter = new EventSplitter();
		assertThatIllegalStateException().isThrownBy(() -> splitter.add(Unpooled.wrappedBuffer(new byte[2 << 20])));
	}

}
