package org.celeryhill.cli;

import java.io.IOException;
import java.net.URI;
import java.util.Optional;

import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/**
 * Reads pages of the admin port of a daemon. Not thread-safe.
 */
final class AdminClient {

	/** Admin port of the daemon. */
	private final URI base;

	/** Why the latest read failed. */
	private String failure = "";

	private AdminClient(URI base) {
		this.base = base;
	}

	static AdminClient of(URI base) {
		return new AdminClient(base);
	}

	/**
	 * Reads a page.
	 * @param path the path
	 * @param parameter the name of a query parameter, empty for none
	 * @param value the value of the parameter
	 * @return the body, empty if the daemon gave no answer with status 200
	 */
	Optional<String> get(String path, String parameter, String value) {
		HttpUrl root = HttpUrl.get(this.base);
		if (root == null) {
			this.failure = this.base + " is not an HTTP URL";
			return Optional.empty();
		}
		HttpUrl.Builder url = root.newBuilder().encodedPath(path);
		if (!parameter.isEmpty()) {
			url.addQueryParameter(parameter, value);
		}
		OkHttpClient client = new OkHttpClient();
		try (Response response = client.newCall(new Request.Builder().url(url.build()).build()).execute()) {
			String body = response.body().string();
			this.failure = "status " + response.code() + ": " + body;
			return response.isSuccessful() ? Optional.of(body) : Optional.empty();
		}
		catch (IOException ex) {
			this.failure = ex.getMessage();
			return Optional.empty();
		}
		finally {
			client.connectionPool().evictAll();
			client.dispatcher().executorService().shutdown();
		}
	}

	/**
	 * Returns why the latest read failed.
	 * @return the reason
	 */
	String failure() {
		return this.base + " did not answer: " + this.failure;
	}

}
