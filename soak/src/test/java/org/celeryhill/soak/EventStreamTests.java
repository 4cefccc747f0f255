package org.celeryhill.soak;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EventStream}.
 */
class EventStreamTests {

	private static byte[] join(List<byte[]> events) {
		StringBuilder text = new StringBuilder();
		events.forEach((event) -> text.append(new String(event, StandardCharsets.US_ASCII)));
		return text.toString().getBytes(StandardCharsets.US_ASCII);
	}

	// Guards against a check that rejects streams that are whole, resumed or cut off.
	@Test
	void properStreamsAreAccepted() {
		assertThat(EventStream.check("a", join(EventStream.events("a", 1, 5)), 5, true)).isEmpty();
		assertThat(EventStream.check("a", join(EventStream.events("a", 1, 3)), 5, false)).isEmpty();
		assertThat(EventStream.check("a", new byte[0], 5, false)).isEmpty();
	}

	// Guards against gaps, repeated events, events of other requests and early ends that
	// the check accepts.
	@Test
	void brokenStreamsAreFound() {
		List<byte[]> events = EventStream.events("a", 1, 5);
		assertThat(EventStream.check("a", join(events.subList(0, 3)), 5, true)).isPresent();
		assertThat(EventStream.check("a", join(List.of(events.get(0), events.get(2))), 5, false)).isPresent();
		assertThat(EventStream.check("a", join(List.of(events.get(0), events.get(0))), 5, false)).isPresent();
		assertThat(EventStream.check("b", join(events), 5, true)).isPresent();
	}

}
