package org.celeryhill.http;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits of the HTTP clients. Immutable and thread-safe.
 *
 * @param connectTimeout the longest wait for a connection, not null, positive
 * @param responseTimeout the longest wait for a complete answer, from the start of the
 * call, not null, positive; it does not apply to streams
 * @param maxResponseBytes the largest answer that is read, in bytes, positive
 */
public record ClientSettings(Duration connectTimeout, Duration responseTimeout, int maxResponseBytes) {

	/**
	 * Creates settings.
	 * @throws IllegalArgumentException if a limit is not positive
	 */
	public ClientSettings {
		Objects.requireNonNull(connectTimeout, "connectTimeout");
		Objects.requireNonNull(responseTimeout, "answerTimeout");
		if (connectTimeout.toMillis() <= 0 || responseTimeout.toMillis() <= 0 || maxResponseBytes <= 0) {
			throw new IllegalArgumentException("timeouts and answer size must be positive");
		}
	}

	/**
	 * Returns the defaults: 500 ms to connect, 2 s for an answer, 16 MiB of answer.
	 * @return the settings, never null
	 */
	public static ClientSettings defaults() {
		return new ClientSettings(Duration.ofMillis(500), Duration.ofSeconds(2), 16 * 1024 * 1024);
	}

	/**
	 * Returns a copy with another connect timeout.
	 * @param timeout the timeout, not null, positive
	 * @return the copy, never null
	 */
	public ClientSettings withConnectTimeout(Duration timeout) {
		return new ClientSettings(timeout, this.responseTimeout, this.maxResponseBytes);
	}

	/**
	 * Returns a copy with another answer timeout.
	 * @param timeout the timeout, not null, positive
	 * @return the copy, never null
	 */
	public ClientSettings withResponseTimeout(Duration timeout) {
		return new ClientSettings(this.connectTimeout, timeout, this.maxResponseBytes);
	}

	/**
	 * Returns a copy with another limit for answers.
	 * @param bytes the limit in bytes, positive
	 * @return the copy, never null
	 */
	public ClientSettings withMaxResponseBytes(int bytes) {
		return new ClientSettings(this.connectTimeout, this.responseTimeout, bytes);
	}

}
