package org.celeryhill.planner;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

import org.celeryhill.base.TimerService;
import org.celeryhill.port.Engine;
import org.celeryhill.port.HostList;
import org.celeryhill.port.ObjectService;
import org.celeryhill.port.PlainService;
import org.celeryhill.port.TableService;

/**
 * Adapters for the external services that the daemon uses. Immutable and thread-safe.
 *
 * @param timer the source of time, not null
 * @param table the table service, not null
 * @param objects the object service, not null
 * @param hosts the host list, not null
 * @param engines creates the adapter for an engine, not null
 * @param plain creates the adapter for a plain server, not null
 * @param peers the peer node, empty to run without peers, not null
 */
record PlannerPorts(TimerService timer, TableService table, ObjectService objects, HostList hosts,
		Function<HostList.Entry, Engine> engines, Function<HostList.Entry, PlainService> plain,
		Optional<SeededPeerNode> peers) {

	PlannerPorts {
		Objects.requireNonNull(timer, "timer");
		Objects.requireNonNull(table, "table");
		Objects.requireNonNull(objects, "objects");
		Objects.requireNonNull(hosts, "hosts");
		Objects.requireNonNull(engines, "engines");
		Objects.requireNonNull(plain, "plain");
		Objects.requireNonNull(peers, "peers");
	}

}
