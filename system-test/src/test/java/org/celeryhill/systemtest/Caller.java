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
 * A caller behind the load balancer: sends a request to a ready entry host and, when the
 * connection breaks, resumes or repeats it through another one.
 */
final class Caller {

	/** Tries of one request over all hosts before the caller gives up. */
	private static final int MAX_TRIES = 60;

	/** Reader of the answers. */
	private static final ObjectMapper JSON = new ObjectMapper();

	/** Client with connections of its own. */
	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(2))
		.build();

	/** Hosts that the load balancer offers now. */
	private final Supplier<List<URI>> hosts;

	/** API key. */
	private final String key;

	Caller(Supplier<List<URI>> hosts, String key) {
		this.hosts = hosts;
		this.key = key;
	}

	/**
	 * Streams an answer to its end.
	 * @param model the model
	 * @param prompt the prompt
	 * @param tokens the length of the answer
	 * @return what arrived
	 */
	Answer stream(String model, String prompt, int tokens) {
		Answer answer = new Answer();
		String body = body(model, prompt, tokens);
		for (int i = 0; i < MAX_TRIES && !answer.isEnded(); i++) {
			tryOnce(answer, body);
			if (!answer.isEnded()) {
				pause();
			}
		}
		return answer;
	}

	/**
	 * Streams an answer without a second try.
	 * @param model the model
	 * @param prompt the prompt
	 * @param tokens the length of the answer
	 * @return what arrived
	 */
	Answer streamOnce(String model, String prompt, int tokens) {
		Answer answer = new Answer();
		tryOnce(answer, body(model, prompt, tokens));
		return answer;
	}

	private static String body(String model, String prompt, int tokens) {
		return "{\"model\":\"" + model + "\",\"stream\":true,\"seed\":7,\"max_tokens\":" + tokens
				+ ",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + "\"}]}";
	}

	private void tryOnce(Answer answer, String body) {
		HttpRequest.Builder request = HttpRequest.newBuilder(host().resolve("/v1/chat/completions"))
			.header("Authorization", "Bearer " + this.key)
			.header("Content-Type", "application/json")
			.timeout(Duration.ofSeconds(30))
			.POST(HttpRequest.BodyPublishers.ofString(body));
		if (answer.lastEventId != null) {
			request.header("Last-Event-ID", answer.lastEventId);
			answer.resumes++;
		}
		try {
			HttpResponse<java.io.InputStream> response = this.client.send(request.build(),
					HttpResponse.BodyHandlers.ofInputStream());
			try (BufferedReader lines = new BufferedReader(
					new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
				if (response.statusCode() == 200) {
					readEvents(lines, answer);
				}
				else {
					answer.refusals.add(response.statusCode() + " " + lines.readLine());
				}
			}
		}
		catch (IOException ex) {
			answer.breaks++;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	private static void readEvents(BufferedReader lines, Answer answer) throws IOException {
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
				answer.take(event, id, line.substring(6));
				event = "";
			}
		}
	}

	/**
	 * Books once, repeating the call with the same idempotency key until the outcome is
	 * known or the caller gives up.
	 * @param idempotencyKey the key
	 * @return the last outcome
	 */
	Booking book(String idempotencyKey) {
		Booking booking = new Booking("none", 0);
		for (int i = 0; i < MAX_TRIES && !booking.isFinal(); i++) {
			booking = bookOnce(idempotencyKey, booking);
			if (!booking.isFinal()) {
				pause();
			}
		}
		return booking;
	}

	private Booking bookOnce(String idempotencyKey, Booking before) {
		HttpRequest request = HttpRequest.newBuilder(host().resolve("/v1/services/dispatch/bookings"))
			.header("Authorization", "Bearer " + this.key)
			.header("Idempotency-Key", idempotencyKey)
			.timeout(Duration.ofSeconds(20))
			.POST(HttpRequest.BodyPublishers.ofString("{\"lot\":\"" + idempotencyKey + "\"}"))
			.build();
		try {
			HttpResponse<String> response = this.client.send(request, HttpResponse.BodyHandlers.ofString());
			if (response.statusCode() / 100 == 2) {
				return new Booking("ran", before.tries() + 1);
			}
			JsonNode error = JSON.readTree(response.body()).path("error");
			return new Booking(error.path("execution").asText("missing"), before.tries() + 1);
		}
		catch (IOException ex) {
			return new Booking("broken", before.tries() + 1);
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

	private static void pause() {
		try {
			Thread.sleep(200);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	/** Outcome of a booking as the caller knows it: ran, not_run, unknown or broken. */
	record Booking(String execution, int tries) {

		boolean isFinal() {
			return this.execution.equals("ran") || this.execution.equals("unknown");
		}

	}

	/** What a caller received of a streamed answer. */
	static final class Answer {

		/** Text so far. */
		private final StringBuilder text = new StringBuilder();

		/** Refusals with their status. */
		private final List<String> refusals = new ArrayList<>();

		/** Error events within a stream. */
		private final List<String> errors = new ArrayList<>();

		/** Event id to resume from. */
		private String lastEventId;

		/** Connections that broke. */
		private int breaks;

		/** Requests that resumed the stream. */
		private int resumes;

		/** Whether the end marker arrived. */
		private boolean isComplete;

		private void take(String event, String id, String data) throws IOException {
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
			return "complete=" + this.isComplete + " characters=" + this.text.length() + " breaks=" + this.breaks
					+ " resumes=" + this.resumes + " refusals=" + this.refusals + " errors=" + this.errors;
		}

	}

}
