package org.celeryhill.edge;

import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Stream;

import org.celeryhill.platform.ServerEntryCodec;

/**
 * Selects the host to which the next heartbeat is sent: the lease holder, and while it
 * does not respond in turn with another host. All hosts prefer the same other host, so
 * that they learn from each other there. Must be used on the event loop.
 */
final class PeerTargets {

	/** Other hosts that the holder names, in case it and the seeds are gone. */
	static final int MAX_NAMED_HOSTS = 4;

	private final Supplier<Optional<InetSocketAddress>> leaseHolder;

	private final PeerMembers members;

	private final InetSocketAddress own;

	private final List<InetSocketAddress> seeds;

	private List<InetSocketAddress> namedHosts = List.of();

	private int namedHostsHash = List.of().hashCode();

	private Optional<InetSocketAddress> holderHint = Optional.empty();

	private boolean isHolderUnreachable;

	private int otherIndex;

	PeerTargets(Supplier<Optional<InetSocketAddress>> leaseHolder, PeerMembers members, InetSocketAddress own,
			List<InetSocketAddress> seeds) {
		this.leaseHolder = leaseHolder;
		this.members = members;
		this.own = own;
		this.seeds = seeds.stream().sorted(Comparator.comparing(InetSocketAddress::toString)).toList();
	}

	// Returns the lease holder, as far as this host knows it.
	Optional<InetSocketAddress> holder() {
		return this.leaseHolder.get().or(() -> this.holderHint);
	}

	// Returns the host to which to send the next heartbeat. If it is urgent, a holder
	// that did not respond last is not waited for again.
	Optional<InetSocketAddress> next(boolean isUrgent) {
		Optional<InetSocketAddress> holder = holder();
		if (holder.isPresent() && !this.isHolderUnreachable) {
			return holder;
		}
		this.isHolderUnreachable = isUrgent && this.isHolderUnreachable;
		List<InetSocketAddress> others = Stream
			.of(this.seeds.stream(), this.members.addresses().stream().map(ServerEntryCodec::address),
					this.namedHosts.stream())
			.flatMap((hosts) -> hosts)
			.distinct()
			.filter((host) -> !host.equals(this.own) && !holder.equals(Optional.of(host)))
			.toList();
		return others.isEmpty() ? holder : Optional.of(others.get(this.otherIndex % others.size()));
	}

	// Records that a host did not respond to a heartbeat.
	void recordFailure(InetSocketAddress target) {
		if (holder().equals(Optional.of(target))) {
			this.isHolderUnreachable = true;
		}
		else {
			this.otherIndex++;
		}
		this.holderHint = Optional.empty();
	}

	// Records a response, with the host that the responding one takes for the holder.
	void recordResponse(Optional<InetSocketAddress> holder) {
		if (holder.isPresent()) {
			this.holderHint = holder;
		}
		else {
			this.otherIndex++;
		}
	}

	// Records the hosts that another one names.
	void recordNamedHosts(List<InetSocketAddress> hosts) {
		this.namedHosts = hosts.stream().limit(MAX_NAMED_HOSTS).toList();
		this.namedHostsHash = this.namedHosts.stream().map(ServerEntryCodec::formatAddress).toList().hashCode();
	}

	// Returns a value that differs for different hosts named by another one.
	int namedHostsHash() {
		return this.namedHostsHash;
	}

	// Returns the hosts that this one names to others.
	List<String> namedHosts() {
		return this.members.addresses().stream().sorted().limit(MAX_NAMED_HOSTS).toList();
	}

}
