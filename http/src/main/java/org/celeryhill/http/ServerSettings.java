package org.celeryhill.http;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits, timeouts and thread counts of an HTTP server. Immutable and thread-safe.
 *
 * @param maxBodyBytes the maximum size of a request body, in bytes, positive
 * @param maxHeaderBytes the maximum size of a request head, in bytes, positive
 * @param idleTimeout the time after which an idle connection is closed, not null,
 * positive; it also applies to streams, so it must exceed the longest pause between their
 * events
 * @param headTimeout the maximum time to receive a request head, not null, positive
 * @param ioThreads the number of threads that serve connections, positive
 * @param workerThreads the number of threads that run blocking handlers, positive
 */
public record ServerSettings(long maxBodyBytes, int maxHeaderBytes, Duration idleTimeout, Duration headTimeout,
		int ioThreads, int workerThreads) {

	/**
	 * Creates and validates the settings.
	 * @throws IllegalArgumentException if a limit, timeout or thread count is not
	 * positive
	 */
	public ServerSettings {
		Objects.requireNonNull(idleTimeout, "idleTimeout");
		Objects.requireNonNull(headTimeout, "headTimeout");
		if (maxBodyBytes <= 0 || maxHeaderBytes <= 0 || ioThreads <= 0 || workerThreads <= 0
				|| idleTimeout.toMillis() <= 0 || headTimeout.toMillis() <= 0) {
			throw new IllegalArgumentException("limits, timeouts and thread counts of an HTTP server must be positive");
		}
	}

	/**
	 * Returns the default settings: request bodies of up to 4 MiB, request heads of up to
	 * 32 KiB, 120 s idle timeout, 10 s to receive a request head, two I/O threads and 16
	 * worker threads.
	 * @return the settings, never null
	 */
	public static ServerSettings defaults() {
		return new ServerSettings(4 * 1024 * 1024, 32 * 1024, Duration.ofSeconds(120), Duration.ofSeconds(10), 2, 16);
	}

	/**
	 * Returns a copy of these settings with the given maximum body size.
	 * @param bytes the new maximum size, in bytes, positive
	 * @return the copy, never null
	 */
	public ServerSettings withMaxBodyBytes(long bytes) {
		return new ServerSettings(bytes, this.maxHeaderBytes, this.idleTimeout, this.headTimeout, this.ioThreads,
				this.workerThreads);
	}

	/**
	 * Returns a copy of these settings with the given maximum size of request heads.
	 * @param bytes the new maximum size, in bytes, positive
	 * @return the copy, never null
	 */
	public ServerSettings withMaxHeaderBytes(int bytes) {
		return new ServerSettings(this.maxBodyBytes, bytes, this.idleTimeout, this.headTimeout, this.ioThreads,
				this.workerThreads);
	}

	/**
	 * Returns a copy of these settings with the given timeouts.
	 * @param idle the new idle timeout, not null, positive
	 * @param head the new maximum time to receive a request head, not null, positive
	 * @return the copy, never null
	 */
	public ServerSettings withTimeouts(Duration idle, Duration head) {
		return new ServerSettings(this.maxBodyBytes, this.maxHeaderBytes, idle, head, this.ioThreads,
				this.workerThreads);
	}

	/**
	 * Returns a copy of these settings with the given thread counts.
	 * @param io the new number of threads that serve connections, positive
	 * @param worker the new number of threads that run blocking handlers, positive
	 * @return the copy, never null
	 */
	public ServerSettings withThreads(int io, int worker) {
		return new ServerSettings(this.maxBodyBytes, this.maxHeaderBytes, this.idleTimeout, this.headTimeout, io,
				worker);
	}

}
