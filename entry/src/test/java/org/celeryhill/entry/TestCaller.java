package org.celeryhill.entry;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * HTTP client of the callers' API of one daemon.
 */
final class TestCaller {

	private static final ObjectMapper JSON = new ObjectMapper();

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final URI base;

	private final String key;

	TestCaller(EntryDaemon daemon, String key) {
		this.base = daemon.apiUri();
		this.key = key;
	}

	HttpResponse<String> post(String path, String body, String... headers) {
		return send(request(path, headers).POST(HttpRequest.BodyPublishers.ofString(body)).build());
	}

	HttpResponse<String> get(String path, String... headers) {
		return send(request(path, headers).GET().build());
	}

	/**
	 * Opens a stream.
	 * @param body the request body, null for a resumption without the original request
	 * @param headers alternating names and values of headers
	 * @return the open stream
	 */
	EventStream openStream(String body, String... headers) {
		HttpRequest request = (body != null)
				? request("/v1/completions", headers).POST(HttpRequest.BodyPublishers.ofString(body)).build()
				: request("/v1/streams/resume", headers).GET().build();
		try {
			return new EventStream(this.client.send(request, HttpResponse.BodyHandlers.ofInputStream()));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			throw new AssertionError(ex);
		}
	}

	private HttpRequest.Builder request(String path, String... headers) {
		HttpRequest.Builder builder = HttpRequest.newBuilder(this.base.resolve(path))
			.timeout(Duration.ofSeconds(30))
			.header("Authorization", "Bearer " + this.key);
		return (headers.length > 0) ? builder.headers(headers) : builder;
	}

	private HttpResponse<String> send(HttpRequest request) {
		try {
			return this.client.send(request, HttpResponse.BodyHandlers.ofString());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			throw new AssertionError(ex);
		}
	}

	static String body(int maxTokens, boolean isStream) {
		return "{\"model\":\"" + TestEnvironment.MODEL + "\",\"prompt\":\"beater roll load\",\"seed\":7,\"max_tokens\":"
				+ maxTokens + ",\"stream\":" + isStream + "}";
	}

	/**
	 * Returns the text that the fake engines generate for {@link #body}.
	 * @param maxTokens the number of tokens
	 * @return the complete text
	 */
	static String expectedText(int maxTokens) {
		return org.celeryhill.fake.FakeTokens.fullOutput(new org.celeryhill.port.GenerateRequest(
				org.celeryhill.base.AttemptId.of("x"), org.celeryhill.base.ModelId.of(TestEnvironment.MODEL),
				"beater roll load", "", 0, maxTokens, 7, org.celeryhill.base.PriorityClass.NORMAL));
	}

	static JsonNode parseJson(String text) {
		try {
			return JSON.readTree(text);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	static JsonNode readError(HttpResponse<String> response) {
		return parseJson(response.body()).path("error");
	}

	/** One server-sent event. */
	record Event(String id, String type, String data) {

		String text() {
			return "[DONE]".equals(this.data) ? "" : parseJson(this.data).at("/choices/0/text").asText();
		}

	}

	/** An open stream of events, with the events read so far. */
	static final class EventStream implements AutoCloseable {

		final HttpResponse<InputStream> response;

		final List<Event> events = new ArrayList<>();

		private final BufferedReader reader;

		private EventStream(HttpResponse<InputStream> response) {
			this.response = response;
			this.reader = new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8));
		}

		/**
		 * Reads events until one matches or the stream ends.
		 * @param last matches the last event to read
		 * @return this stream
		 */
		EventStream readUntil(Predicate<Event> last) {
			try {
				Event event = readEvent();
				while (event != null) {
					this.events.add(event);
					event = last.test(event) ? null : readEvent();
				}
				return this;
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

		EventStream readAll() {
			return readUntil((event) -> false);
		}

		EventStream readEvents(int count) {
			return readUntil((event) -> this.events.size() >= count);
		}

		private Event readEvent() throws IOException {
			String id = "";
			String type = "";
			for (String line = this.reader.readLine(); line != null; line = this.reader.readLine()) {
				if (line.startsWith("id: ")) {
					id = line.substring(4);
				}
				else if (line.startsWith("event: ")) {
					type = line.substring(7);
				}
				else if (line.startsWith("data: ")) {
					String data = line.substring(6);
					this.reader.readLine();
					return new Event(id, type, data);
				}
			}
			return null;
		}

		String text() {
			StringBuilder text = new StringBuilder();
			this.events.stream()
				.filter((event) -> event.type().isEmpty())
				.forEach((event) -> text.append(event.text()));
			return text.toString();
		}

		Event last() {
			return this.events.get(this.events.size() - 1);
		}

		String lastEventId() {
			return this.events.stream().map(Event::id).filter((id) -> !id.isEmpty()).reduce("", (a, b) -> b);
		}

		boolean isComplete() {
			return "[DONE]".equals(last().data());
		}

		@Override
		public void close() {
			try {
				this.response.body().close();
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

	}

}
