package org.celeryhill.cli;

import java.io.IOException;
import java.net.URI;
import java.util.Optional;

import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.celeryhill.http.ResponseHeadInterceptor;

/**
 * Reads pages from the admin port of a daemon. Not thread-safe.
 */
final class AdminClient {

	/** URL of the admin port. */
	private final URI adminUrl;

	/** Why the latest call of {@link #get} failed. */
	private String lastFailure = "";

	private AdminClient(URI adminUrl) {
		this.adminUrl = adminUrl;
	}

	static AdminClient of(URI adminUrl) {
		return new AdminClient(adminUrl);
	}

	/**
	 * Reads a page.
	 * @param path the path of the page, with a leading slash
	 * @param parameter the name of a query parameter, empty for none
	 * @param value the value of the query parameter
	 * @return the body, empty if the daemon did not respond with a status from 200 to 299
	 */
	Optional<String> get(String path, String parameter, String value) {
		HttpUrl root = HttpUrl.get(this.adminUrl);
		if (root == null) {
			this.lastFailure = this.adminUrl + " is not an HTTP URL";
			return Optional.empty();
		}
		HttpUrl.Builder url = root.newBuilder().encodedPath(path);
		if (!parameter.isEmpty()) {
			url.addQueryParameter(parameter, value);
		}
		OkHttpClient client = new OkHttpClient.Builder().addNetworkInterceptor(new ResponseHeadInterceptor()).build();
		try (Response response = client.newCall(new Request.Builder().url(url.build()).build()).execute()) {
			String body = response.body().string();
			this.lastFailure = "status " + response.code() + ": " + body;
			return response.isSuccessful() ? Optional.of(body) : Optional.empty();
		}
		catch (IOException ex) {
			this.lastFailure = ex.getMessage();
			return Optional.empty();
		}
		finally {
			client.connectionPool().evictAll();
			client.dispatcher().executorService().shutdown();
		}
	}

	/**
	 * Returns an error message about the latest call of {@link #get}.
	 * @return the URL of the daemon and why the call failed
	 */
	String failureMessage() {
		return this.adminUrl + " did not return the page: " + this.lastFailure;
	}

}
