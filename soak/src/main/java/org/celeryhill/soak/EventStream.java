package org.celeryhill.soak;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Streams of events: what engines send and what callers expect. Stateless and
 * thread-safe.
 */
final class EventStream {

	private static final String COUNT = "&events=";

	private EventStream() {
	}

	/**
	 * Returns the part of a target that says how many events the stream has.
	 * @param count the number of events
	 * @return the last part of the query, never null
	 */
	static String countParameter(int count) {
		return COUNT + count;
	}

	static int count(String target) {
		int index = target.indexOf(COUNT);
		return (index < 0) ? 0 : Integer.parseInt(target.substring(index + COUNT.length()));
	}

	/**
	 * Returns the events of a run.
	 * @param id the id of the request, not null
	 * @param from the number of the first event
	 * @param count the number of the last event
	 * @return the encoded events, never null
	 */
	static List<byte[]> events(String id, int from, int count) {
		List<byte[]> events = new ArrayList<>();
		for (int i = from; i <= count; i++) {
			events.add(event(id, i).getBytes(StandardCharsets.US_ASCII));
		}
		return events;
	}

	private static String event(String id, int number) {
		return "id: " + number + "\ndata: " + id + " token " + number + "\n\n";
	}

	/**
	 * Checks what a caller got.
	 * @param id the id of the request, not null
	 * @param body the body or its first part, not null
	 * @param count the number of events of the whole stream
	 * @param isEnded whether the response has ended as complete
	 * @return what is wrong, empty if nothing is, never null
	 */
	static Optional<String> check(String id, byte[] body, int count, boolean isEnded) {
		String expected = String.join("",
				events(id, 1, count).stream().map((event) -> new String(event, StandardCharsets.US_ASCII)).toList());
		String text = new String(body, StandardCharsets.ISO_8859_1);
		if (!expected.startsWith(text)) {
			return Optional.of("other events than " + count + " of its own: " + text.replace("\n", "|"));
		}
		boolean isCut = isEnded && text.length() < expected.length();
		return isCut
				? Optional.of("stream ends as complete after " + text.length() + " of " + expected.length() + " bytes")
				: Optional.empty();
	}

}
