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
 * Client of the admin endpoint of the stand-ins: injects faults and reads counters.
 */
final class StandinAdminClient {

	/** Parses responses. */
	private static final ObjectMapper JSON = new ObjectMapper();

	/** HTTP client of the admin endpoint. */
	private final HttpClient client = HttpClient.newHttpClient();

	/** Base address of the admin endpoint. */
	private final URI admin;

	StandinAdminClient(URI admin) {
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
	 * Returns how often the backend servers ran each booking.
	 * @return the number of executions by idempotency key
	 */
	Map<String, Integer> readExecutionCounts() {
		Map<String, Integer> countByKey = new TreeMap<>();
		readCounters().path("executions")
			.fields()
			.forEachRemaining((entry) -> countByKey.put(entry.getKey(), entry.getValue().asInt()));
		return countByKey;
	}

	/**
	 * Returns by how much the engines have overcommitted their memory.
	 * @return the sum of each engine's highest excess, in bytes
	 */
	long readOvercommittedBytes() {
		long sum = 0;
		for (JsonNode bytes : readCounters().path("overcommittedBytes")) {
			sum += bytes.asLong();
		}
		return sum;
	}

	long readStartedStreams(String engine) {
		return readCounters().path("startedStreams").path(engine).asLong();
	}

	private JsonNode readCounters() {
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
