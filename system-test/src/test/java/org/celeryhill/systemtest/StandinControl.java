package org.celeryhill.systemtest;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Admin endpoint of the stand-ins: faults and counters.
 */
final class StandinControl {

	/** Reader of the answers. */
	private static final ObjectMapper JSON = new ObjectMapper();

	/** Client without a pool of its own threads to wait for. */
	private final HttpClient client = HttpClient.newHttpClient();

	/** Admin address. */
	private final URI admin;

	StandinControl(URI admin) {
		this.admin = admin;
	}

	void setDown(String target, boolean isDown) {
		send("POST", "/admin/faults/" + target, "{\"down\":" + isDown + "}");
	}

	void setProbability(String target, String fault, double probability) {
		send("POST", "/admin/faults/" + target, "{\"probability\":{\"" + fault + "\":" + probability + "}}");
	}

	void clearFaults() {
		send("DELETE", "/admin/faults", "");
	}

	void setLeaving(String backend, boolean isLeaving) {
		send("POST", "/admin/hosts/" + backend + "?leaving=" + isLeaving, "{}");
	}

	void setStopped(String engine, boolean isStopped) {
		send("POST", "/admin/servers/" + engine, "{\"stopped\":" + isStopped + "}");
	}

	/**
	 * Returns how often each booking ran, by idempotency key.
	 * @return the executions
	 */
	Map<String, Integer> executions() {
		Map<String, Integer> executions = new TreeMap<>();
		counters().path("executions")
			.fields()
			.forEachRemaining((entry) -> executions.put(entry.getKey(), entry.getValue().asInt()));
		return executions;
	}

	/**
	 * Returns the bytes that any engine ever held beyond its memory.
	 * @return the sum of all engines
	 */
	long overcommittedBytes() {
		long sum = 0;
		for (JsonNode bytes : counters().path("overcommittedBytes")) {
			sum += bytes.asLong();
		}
		return sum;
	}

	long startedStreams(String engine) {
		return counters().path("startedStreams").path(engine).asLong();
	}

	private JsonNode counters() {
		try {
			return JSON.readTree(send("GET", "/admin/counters", ""));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private String send(String method, String path, String body) {
		HttpRequest request = HttpRequest.newBuilder(this.admin.resolve(path))
			.method(method,
					(body.isEmpty()) ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body))
			.build();
		try {
			HttpResponse<String> response = this.client.send(request, HttpResponse.BodyHandlers.ofString());
			if (response.statusCode() != 200) {
				throw new IllegalStateException(method + " " + path + ": " + response.statusCode() + response.body());
			}
			return response.body();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

}
