package org.celeryhill.planner;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

import org.celeryhill.port.HostList;

/**
 * Seed addresses at which other processes may listen for peers: those of the settings,
 * and those of the entry hosts in the latest host list with the peer ports of both
 * daemons. Thread-safe.
 */
final class PeerSeeds implements Supplier<List<InetSocketAddress>> {

	/** Addresses given in the settings. */
	private final List<InetSocketAddress> configuredAddresses;

	/** Peer protocol ports of the daemons on each entry host. */
	private final List<Integer> ports;

	private volatile List<InetSocketAddress> addresses;

	PeerSeeds(List<InetSocketAddress> configuredAddresses, List<Integer> ports) {
		this.configuredAddresses = List.copyOf(configuredAddresses);
		this.ports = ports.stream().filter((port) -> port > 0).toList();
		this.addresses = this.configuredAddresses;
	}

	/**
	 * Replaces the addresses of the entry hosts with those of a host list.
	 * @param entries the entries of the host list, not null
	 */
	void updateFromHostList(List<HostList.Entry> entries) {
		Set<InetSocketAddress> next = new LinkedHashSet<>(this.configuredAddresses);
		for (HostList.Entry entry : entries) {
			if (entry.kind() == HostList.Kind.ENTRY) {
				this.ports.forEach((port) -> next.add(new InetSocketAddress(entry.address().getHost(), port)));
			}
		}
		this.addresses = new ArrayList<>(next);
	}

	@Override
	public List<InetSocketAddress> get() {
		return this.addresses;
	}

}
