package org.celeryhill.systemtest;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * API client that sends requests through the load balancer. When a connection breaks, it
 * resumes the stream, or repeats the booking, through a randomly chosen entry host.
 */
final class Caller {

	/** Maximum number of tries of one request over all hosts. */
	private static final int MAX_TRIES = 60;

	/** Parses responses. */
	private static final ObjectMapper JSON = new ObjectMapper();

	/** HTTP client whose connections are not shared with other callers. */
	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(2))
		.build();

	/** API addresses of the hosts that the load balancer currently offers. */
	private final Supplier<List<URI>> hosts;

	/** API key of the organisation. */
	private final String key;

	Caller(Supplier<List<URI>> hosts, String key) {
		this.hosts = hosts;
		this.key = key;
	}

	/**
	 * Streams a chat completion, resuming it after broken connections and retrying after
	 * refusals until it ends or the maximum number of tries is reached.
	 * @param model the model id
	 * @param prompt the user message
	 * @param tokens the number of tokens to generate
	 * @return the data received, which may be incomplete
	 */
	StreamResult stream(String model, String prompt, int tokens) {
		StreamResult result = new StreamResult();
		String body = body(model, prompt, tokens);
		for (int i = 0; i < MAX_TRIES && !result.isEnded(); i++) {
			sendOnce(result, body);
			if (!result.isEnded()) {
				sleepBeforeRetry();
			}
		}
		return result;
	}

	/**
	 * Streams a chat completion with a single request.
	 * @param model the model id
	 * @param prompt the user message
	 * @param tokens the number of tokens to generate
	 * @return the data received, which may be incomplete
	 */
	StreamResult streamOnce(String model, String prompt, int tokens) {
		StreamResult result = new StreamResult();
		sendOnce(result, body(model, prompt, tokens));
		return result;
	}

	private static String body(String model, String prompt, int tokens) {
		return "{\"model\":\"" + model + "\",\"stream\":true,\"seed\":7,\"max_tokens\":" + tokens
				+ ",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + "\"}]}";
	}

	private void sendOnce(StreamResult result, String body) {
		HttpRequest.Builder request = HttpRequest.newBuilder(host().resolve("/v1/chat/completions"))
			.header("Authorization", "Bearer " + this.key)
			.header("Content-Type", "application/json")
			.timeout(Duration.ofSeconds(30))
			.POST(HttpRequest.BodyPublishers.ofString(body));
		if (result.lastEventId != null) {
			request.header("Last-Event-ID", result.lastEventId);
			result.resumes++;
		}
		try {
			HttpResponse<java.io.InputStream> response = this.client.send(request.build(),
					HttpResponse.BodyHandlers.ofInputStream());
			try (BufferedReader lines = new BufferedReader(
					new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
				if (response.statusCode() == 200) {
					readEvents(lines, result);
				}
				else {
					result.refusals.add(response.statusCode() + " " + lines.readLine());
				}
			}
		}
		catch (IOException ex) {
			result.brokenConnections++;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	private static void readEvents(BufferedReader lines, StreamResult result) throws IOException {
		String event = "";
		String id = null;
		for (String line = lines.readLine(); line != null; line = lines.readLine()) {
			if (line.startsWith("id: ")) {
				id = line.substring(4);
			}
			else if (line.startsWith("event: ")) {
				event = line.substring(7);
			}
			else if (line.startsWith("data: ")) {
				result.addEvent(event, id, line.substring(6));
				event = "";
			}
		}
	}

	/**
	 * Makes one booking, repeating the call with the same idempotency key until the
	 * outcome is final or the maximum number of tries is reached.
	 * @param idempotencyKey the idempotency key of all tries
	 * @return the outcome of the last try
	 */
	Booking book(String idempotencyKey) {
		Booking booking = new Booking("none", 0);
		for (int i = 0; i < MAX_TRIES && !booking.isFinal(); i++) {
			booking = bookOnce(idempotencyKey, booking);
			if (!booking.isFinal()) {
				sleepBeforeRetry();
			}
		}
		return booking;
	}

	private Booking bookOnce(String idempotencyKey, Booking previous) {
		HttpRequest request = HttpRequest.newBuilder(host().resolve("/v1/services/dispatch/bookings"))
			.header("Authorization", "Bearer " + this.key)
			.header("Idempotency-Key", idempotencyKey)
			.timeout(Duration.ofSeconds(20))
			.POST(HttpRequest.BodyPublishers.ofString("{\"lot\":\"" + idempotencyKey + "\"}"))
			.build();
		try {
			HttpResponse<String> response = this.client.send(request, HttpResponse.BodyHandlers.ofString());
			if (response.statusCode() / 100 == 2) {
				return new Booking("ran", previous.tries() + 1);
			}
			JsonNode error = JSON.readTree(response.body()).path("error");
			return new Booking(error.path("execution").asText("missing"), previous.tries() + 1);
		}
		catch (IOException ex) {
			return new Booking("broken", previous.tries() + 1);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	private URI host() {
		List<URI> ready = this.hosts.get();
		return ready.get(ThreadLocalRandom.current().nextInt(ready.size()));
	}

	private static void sleepBeforeRetry() {
		try {
			Thread.sleep(200);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Outcome of a booking as reported to the caller.
	 *
	 * @param execution {@code ran} after a successful response, otherwise the execution
	 * field of the error response, or {@code broken} if the connection broke
	 * @param tries the number of calls made
	 */
	record Booking(String execution, int tries) {

		boolean isFinal() {
			return this.execution.equals("ran") || this.execution.equals("unknown");
		}

	}

	/** Data that a caller has received of one stream, over all connections. */
	static final class StreamResult {

		/** Generated text received so far. */
		private final StringBuilder text = new StringBuilder();

		/** HTTP status and body of each refused request. */
		private final List<String> refusals = new ArrayList<>();

		/** Error events within a stream. */
		private final List<String> errors = new ArrayList<>();

		/** Event id to resume from, null before the first event. */
		private String lastEventId;

		/** Number of broken connections. */
		private int brokenConnections;

		/** Number of requests that resumed the stream. */
		private int resumes;

		/** Whether the end marker has arrived. */
		private boolean isComplete;

		private void addEvent(String event, String id, String data) throws IOException {
			if (event.equals("error")) {
				this.errors.add(data);
				return;
			}
			if (event.equals("handover")) {
				this.lastEventId = id;
				return;
			}
			if (data.equals("[DONE]")) {
				this.isComplete = true;
				return;
			}
			this.text.append(JSON.readTree(data).at("/choices/0/delta/content").asText(""));
			if (id != null) {
				this.lastEventId = id;
			}
		}

		boolean isEnded() {
			return this.isComplete || !this.errors.isEmpty();
		}

		boolean isComplete() {
			return this.isComplete;
		}

		String text() {
			return this.text.toString();
		}

		int resumes() {
			return this.resumes;
		}

		List<String> refusals() {
			return this.refusals;
		}

		@Override
		public String toString() {
			return "complete=" + this.isComplete + " characters=" + this.text.length() + " breaks="
					+ this.brokenConnections + " resumes=" + this.resumes + " refusals=" + this.refusals + " errors="
					+ this.errors;
		}

	}

}
