package org.celeryhill.http;

import java.time.Duration;
import java.util.Objects;

/**
 * Timeouts and size limits of the HTTP clients. Immutable and thread-safe.
 *
 * @param connectTimeout the maximum time to establish a connection, not null, positive
 * @param responseTimeout the maximum time from the start of a call to its complete
 * response, not null, positive; it does not apply to streams
 * @param maxResponseBytes the maximum size of a response body, in bytes, positive; larger
 * responses fail
 */
public record ClientSettings(Duration connectTimeout, Duration responseTimeout, int maxResponseBytes) {

	/**
	 * Creates and validates the settings.
	 * @throws IllegalArgumentException if a timeout or the size is not positive
	 */
	public ClientSettings {
		Objects.requireNonNull(connectTimeout, "connectTimeout");
		Objects.requireNonNull(responseTimeout, "responseTimeout");
		if (connectTimeout.toMillis() <= 0 || responseTimeout.toMillis() <= 0 || maxResponseBytes <= 0) {
			throw new IllegalArgumentException("connectTimeout, responseTimeout and maxResponseBytes must be positive");
		}
	}

	/**
	 * Returns the default settings: 500 ms to connect, 2 s for a complete response and
	 * responses of up to 16 MiB.
	 * @return the settings, never null
	 */
	public static ClientSettings defaults() {
		return new ClientSettings(Duration.ofMillis(500), Duration.ofSeconds(2), 16 * 1024 * 1024);
	}

	/**
	 * Returns a copy of these settings with the given connect timeout.
	 * @param timeout the new timeout, not null, positive
	 * @return the copy, never null
	 */
	public ClientSettings withConnectTimeout(Duration timeout) {
		return new ClientSettings(timeout, this.responseTimeout, this.maxResponseBytes);
	}

	/**
	 * Returns a copy of these settings with the given response timeout.
	 * @param timeout the new timeout, not null, positive
	 * @return the copy, never null
	 */
	public ClientSettings withResponseTimeout(Duration timeout) {
		return new ClientSettings(this.connectTimeout, timeout, this.maxResponseBytes);
	}

	/**
	 * Returns a copy of these settings with the given maximum response size.
	 * @param bytes the new maximum size of a response body, in bytes, positive
	 * @return the copy, never null
	 */
	public ClientSettings withMaxResponseBytes(int bytes) {
		return new ClientSettings(this.connectTimeout, this.responseTimeout, bytes);
	}

}
