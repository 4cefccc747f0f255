package org.celeryhill.forward;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Idle connections to backend servers. Must be used on the event loop.
 */
final class ConnectionPool {

	/** Longest time that a connection stays idle. */
	private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(4);

	private final Map<BackendClient.PoolKey, ArrayDeque<BackendConnection>> connections = new HashMap<>();

	/**
	 * Removes the connection that was used last among those that can carry an exchange.
	 * Connections that have ended are closed.
	 * @param key the process to connect to, not null
	 * @param exchange the exchange, not null
	 * @param maxIdle the longest time that the connection may have been idle, not null
	 * @return the connection, empty if there is none, never null
	 */
	Optional<BackendConnection> poll(BackendClient.PoolKey key, Exchange exchange, Duration maxIdle) {
		ArrayDeque<BackendConnection> queue = this.connections.getOrDefault(key, new ArrayDeque<>());
		long now = System.nanoTime();
		Iterator<BackendConnection> latestFirst = queue.descendingIterator();
		while (latestFirst.hasNext()) {
			BackendConnection connection = latestFirst.next();
			if (!connection.isReusable(now, Long.MAX_VALUE)) {
				latestFirst.remove();
				connection.close();
			}
			else if (!connection.isReusable(now, maxIdle.toNanos())) {
				return Optional.empty();
			}
			else if (!connection.hasCarried(exchange)) {
				latestFirst.remove();
				return Optional.of(connection);
			}
		}
		return Optional.empty();
	}

	void add(BackendConnection connection) {
		this.connections.computeIfAbsent(connection.key(), (key) -> new ArrayDeque<>()).addLast(connection);
	}

	void remove(BackendConnection connection) {
		ArrayDeque<BackendConnection> queue = this.connections.get(connection.key());
		if (queue != null) {
			queue.remove(connection);
			if (queue.isEmpty()) {
				this.connections.remove(connection.key());
			}
		}
	}

	// Closes connections that were idle for too long, and those of processes that are no
	// longer in use. A connection removes itself when it is closed.
	void closeIdleConnections(Predicate<BackendClient.PoolKey> isInUse) {
		long now = System.nanoTime();
		for (BackendConnection connection : all()) {
			if (!isInUse.test(connection.key()) || !connection.isReusable(now, MAX_IDLE_NANOS)) {
				connection.close();
			}
		}
	}

	private List<BackendConnection> all() {
		List<BackendConnection> all = new ArrayList<>();
		this.connections.values().forEach(all::addAll);
		return all;
	}

}
