package org.celeryhill.planner;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

import org.celeryhill.port.HostList;

/**
 * Addresses at which other processes may listen for peers: those of the settings, and the
 * entry hosts of the latest host list with the ports of both daemons. Thread-safe.
 */
final class PeerSeeds implements Supplier<List<InetSocketAddress>> {

	/** Addresses of the settings. */
	private final List<InetSocketAddress> configuredAddresses;

	/** Ports of the peer protocol on each entry host. */
	private final List<Integer> ports;

	/** Latest addresses. */
	private volatile List<InetSocketAddress> addresses;

	PeerSeeds(List<InetSocketAddress> configuredAddresses, List<Integer> ports) {
		this.configuredAddresses = List.copyOf(configuredAddresses);
		this.ports = ports.stream().filter((port) -> port > 0).toList();
		this.addresses = this.configuredAddresses;
	}

	/**
	 * Takes the entries of a host list.
	 * @param entries the entries, not null
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
