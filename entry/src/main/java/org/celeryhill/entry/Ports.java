package org.celeryhill.entry;

import java.util.Objects;
import java.util.Optional;

import org.celeryhill.base.TimerService;
import org.celeryhill.port.HostList;
import org.celeryhill.port.ObjectService;
import org.celeryhill.port.TableService;
import org.celeryhill.traffic.TrafficController;

/**
 * Everything outside the daemon that it works with. Immutable and thread-safe.
 *
 * @param timer the time, not null
 * @param table the table service, not null
 * @param objects the object service, not null
 * @param hosts the host list, not null
 * @param backends creates adapters of backend servers, not null
 * @param traffic the traffic controller, used only by this daemon, not null
 * @param peers creates the node among the other processes, empty to run alone, not null
 */
record Ports(TimerService timer, TableService table, ObjectService objects, HostList hosts, BackendFactory backends,
		TrafficController traffic, Optional<PeerFactory> peers) {

	Ports {
		Objects.requireNonNull(timer, "timer");
		Objects.requireNonNull(table, "table");
		Objects.requireNonNull(objects, "objects");
		Objects.requireNonNull(hosts, "hosts");
		Objects.requireNonNull(backends, "backends");
		Objects.requireNonNull(traffic, "traffic");
		Objects.requireNonNull(peers, "peers");
	}

}
