package org.celeryhill.forward;

import java.util.List;
import java.util.Objects;

/**
 * The end of a backend server process while it worked on requests of this host. Immutable
 * and thread-safe.
 *
 * @param server the process that ended, as {@link ServerEntry#incarnationId()}, not null
 * @param brokenNanos the time at which its responses broke, on the clock of
 * {@link System#nanoTime()}
 * @param candidates the shared prompt parts of each request whose response had not begun
 * or had only just begun, not null
 */
public record ServerCrash(String server, long brokenNanos, List<List<Long>> candidates) {

	/**
	 * Creates a crash with a copy of the candidates.
	 */
	public ServerCrash {
		Objects.requireNonNull(server, "server");
		candidates = candidates.stream().map(List::copyOf).toList();
	}

}
