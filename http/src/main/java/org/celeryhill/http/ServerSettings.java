package org.celeryhill.http;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits of an HTTP server. Immutable and thread-safe.
 *
 * @param maxBodyBytes the largest request body, in bytes, positive
 * @param maxHeaderBytes the largest request head, in bytes, positive
 * @param idleTimeout the time after which a connection without any traffic is closed, not
 * null, positive; it applies to streams too, so it must exceed the longest pause of one
 * @param headTimeout the longest time for reading a request head, not null, positive
 * @param ioThreads the threads that serve connections, positive
 * @param workerThreads the threads that run blocking handlers, positive
 */
public record ServerSettings(long maxBodyBytes, int maxHeaderBytes, Duration idleTimeout, Duration headTimeout,
		int ioThreads, int workerThreads) {

	/**
	 * Creates settings.
	 * @throws IllegalArgumentException if a limit is not positive
	 */
	public ServerSettings {
		Objects.requireNonNull(idleTimeout, "idleTimeout");
		Objects.requireNonNull(headTimeout, "readTimeout");
		if (maxBodyBytes <= 0 || maxHeaderBytes <= 0 || ioThreads <= 0 || workerThreads <= 0
				|| idleTimeout.toMillis() <= 0 || headTimeout.toMillis() <= 0) {
			throw new IllegalArgumentException("limits of an HTTP server must be positive");
		}
	}

	/**
	 * Returns the defaults: 4 MiB of body, 32 KiB of head, 120 s idle, 10 s for a head,
	 * two I/O threads and 16 worker threads.
	 * @return the settings, never null
	 */
	public static ServerSettings defaults() {
		return new ServerSettings(4 * 1024 * 1024, 32 * 1024, Duration.ofSeconds(120), Duration.ofSeconds(10), 2, 16);
	}

	/**
	 * Returns a copy with another limit for bodies.
	 * @param bytes the limit in bytes, positive
	 * @return the copy, never null
	 */
	public ServerSettings withMaxBodyBytes(long bytes) {
		return new ServerSettings(bytes, this.maxHeaderBytes, this.idleTimeout, this.headTimeout, this.ioThreads,
				this.workerThreads);
	}

	/**
	 * Returns a copy with another limit for request heads.
	 * @param bytes the limit in bytes, positive
	 * @return the copy, never null
	 */
	public ServerSettings withMaxHeaderBytes(int bytes) {
		return new ServerSettings(this.maxBodyBytes, bytes, this.idleTimeout, this.headTimeout, this.ioThreads,
				this.workerThreads);
	}

	/**
	 * Returns a copy with other timeouts.
	 * @param idle the idle timeout, not null, positive
	 * @param read the timeout for a request head, not null, positive
	 * @return the copy, never null
	 */
	public ServerSettings withTimeouts(Duration idle, Duration read) {
		return new ServerSettings(this.maxBodyBytes, this.maxHeaderBytes, idle, read, this.ioThreads,
				this.workerThreads);
	}

	/**
	 * Returns a copy with other thread counts.
	 * @param io the threads that serve connections, positive
	 * @param workers the threads that run blocking handlers, positive
	 * @return the copy, never null
	 */
	public ServerSettings withThreads(int io, int workers) {
		return new ServerSettings(this.maxBodyBytes, this.maxHeaderBytes, this.idleTimeout, this.headTimeout, io,
				workers);
	}

}
