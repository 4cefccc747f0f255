package org.celeryhill.entry;

import java.util.Objects;
import java.util.Optional;

import org.celeryhill.base.TimerService;
import org.celeryhill.peer.PeerNode;
import org.celeryhill.port.HostList;
import org.celeryhill.port.TableService;
import org.celeryhill.traffic.TrafficController;

/**
 * Everything outside the daemon that it works with. Immutable and thread-safe.
 *
 * @param timer the time, not null
 * @param table the table service, not null
 * @param hosts the host list, not null
 * @param backends creates adapters of backend servers, not null
 * @param traffic the traffic controller, used only by this daemon, not null
 * @param claims the claims of non-idempotent calls, not null
 * @param configuration the accepted configurations, not null
 * @param stops the planned stops, not null
 * @param peers the other processes, empty to run alone, not null
 */
record Ports(TimerService timer, TableService table, HostList hosts, BackendFactory backends, TrafficController traffic,
		CallClaims claims, ConfigurationSource configuration, StopSource stops, Optional<PeerNode> peers) {

	Ports {
		Objects.requireNonNull(timer, "timer");
		Objects.requireNonNull(table, "table");
		Objects.requireNonNull(hosts, "hosts");
		Objects.requireNonNull(backends, "backends");
		Objects.requireNonNull(traffic, "traffic");
		Objects.requireNonNull(claims, "claims");
		Objects.requireNonNull(configuration, "configuration");
		Objects.requireNonNull(stops, "stops");
		Objects.requireNonNull(peers, "peers");
	}

}
