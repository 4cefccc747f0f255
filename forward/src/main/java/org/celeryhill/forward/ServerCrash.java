package org.celeryhill.forward;

import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * The end of a backend server process while it worked on requests of this host. Immutable
 * and thread-safe.
 *
 * @param server the process that ended, as {@link ServerEntry#incarnationId()}, not null
 * @param brokenNanos the time at which its responses broke, on the clock of
 * {@link System#nanoTime()}
 * @param candidates the parts by which each request can be recognised whose response had
 * not begun or had only just begun, not null
 * @param repeatedParts the parts of those requests that another backend server had worked
 * on before, not null
 */
public record ServerCrash(String server, long brokenNanos, Set<List<Long>> candidates, Set<Long> repeatedParts) {

	/**
	 * Creates a crash with copies of the sets.
	 */
	public ServerCrash {
		Objects.requireNonNull(server, "server");
		candidates = Set.copyOf(candidates);
		repeatedParts = Set.copyOf(repeatedParts);
	}

}
