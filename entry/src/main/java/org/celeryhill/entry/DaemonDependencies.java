package org.celeryhill.entry;

import java.util.Objects;
import java.util.Optional;

import org.celeryhill.base.TimerService;
import org.celeryhill.port.HostList;
import org.celeryhill.port.ObjectService;
import org.celeryhill.port.TableService;
import org.celeryhill.traffic.TrafficController;

/**
 * The external services, adapters and timers that a daemon depends on. Immutable and
 * thread-safe.
 *
 * @param timer the clock and timers, not null
 * @param table the table service, not null
 * @param objects the object service, not null
 * @param hosts the host list, not null
 * @param backendFactory creates the adapters of backend servers, not null
 * @param trafficController the traffic controller, used only by this daemon, not null
 * @param peerFactory creates the peer node, empty to run without peers, not null
 */
record DaemonDependencies(TimerService timer, TableService table, ObjectService objects, HostList hosts,
		BackendFactory backendFactory, TrafficController trafficController, Optional<PeerFactory> peerFactory) {

	DaemonDependencies {
		Objects.requireNonNull(timer, "timer");
		Objects.requireNonNull(table, "table");
		Objects.requireNonNull(objects, "objects");
		Objects.requireNonNull(hosts, "hosts");
		Objects.requireNonNull(backendFactory, "backendFactory");
		Objects.requireNonNull(trafficController, "trafficController");
		Objects.requireNonNull(peerFactory, "peerFactory");
	}

}
