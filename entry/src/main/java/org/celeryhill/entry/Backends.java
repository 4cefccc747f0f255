package org.celeryhill.entry;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.ServiceId;
import org.celeryhill.port.Engine;
import org.celeryhill.port.HostList;
import org.celeryhill.port.PlainService;
import org.celeryhill.state.StopTarget;

/**
 * The backend servers of the host list with their adapters. Thread-safe.
 */
final class Backends {

	/** Creates adapters. */
	private final BackendFactory factory;

	/** Known backend servers. */
	private final Map<BackendServerId, Backend> known = new ConcurrentHashMap<>();

	/** Targets of planned stops. */
	private volatile Set<StopTarget> stops = Set.of();

	Backends(BackendFactory factory) {
		this.factory = Objects.requireNonNull(factory, "factory");
	}

	Optional<Engine> engine(BackendServerId id) {
		return Optional.ofNullable(this.known.get(id)).flatMap(Backend::engine);
	}

	Optional<PlainService> plain(BackendServerId id) {
		return Optional.ofNullable(this.known.get(id)).flatMap(Backend::plain);
	}

	Optional<Backend> find(BackendServerId id) {
		return Optional.ofNullable(this.known.get(id));
	}

	/**
	 * Returns the hosts of the legacy serving system that may get new requests.
	 * @param service the service, not null
	 * @return the ids in order, never null
	 */
	List<BackendServerId> legacy(ServiceId service) {
		return this.known.values()
			.stream()
			.map(Backend::entry)
			.filter((entry) -> entry.kind() == HostList.Kind.LEGACY && !isLeaving(entry))
			.filter((entry) -> entry.service().equals(service))
			.map(HostList.Entry::id)
			.sorted()
			.toList();
	}

	/**
	 * Returns whether the host list or a planned stop says that a host gets no new work.
	 * @param entry the entry, not null
	 * @return true if it is leaving
	 */
	boolean isLeaving(HostList.Entry entry) {
		return entry.leaving()
				|| this.stops.stream().anyMatch((stop) -> stop.covers(entry.id(), entry.dataCentre()));
	}

	/**
	 * Sets the targets of planned stops.
	 * @param targets the targets, not null
	 * @return whether they have changed
	 */
	boolean setStops(Set<StopTarget> targets) {
		Set<StopTarget> copy = Set.copyOf(targets);
		boolean isChanged = !copy.equals(this.stops);
		this.stops = copy;
		return isChanged;
	}

	List<Backend> all() {
		return List.copyOf(this.known.values());
	}

	/**
	 * Takes note of an entry of the host list. The adapter is kept while address and kind
	 * stay the same.
	 * @param entry the entry, not null
	 */
	void put(HostList.Entry entry) {
		this.known.compute(entry.id(), (id, old) -> {
			boolean isSame = old != null && old.entry().address().equals(entry.address())
					&& old.entry().kind() == entry.kind();
			return isSame ? old.withEntry(entry) : create(entry);
		});
	}

	void remove(BackendServerId id) {
		this.known.remove(id);
	}

	private Backend create(HostList.Entry entry) {
		boolean isEngine = entry.kind() == HostList.Kind.ENGINE || entry.kind() == HostList.Kind.LEGACY;
		boolean isPlain = entry.kind() == HostList.Kind.PLAIN_SERVICE || entry.kind() == HostList.Kind.LEGACY;
		return new Backend(entry, isEngine ? Optional.of(this.factory.engine(entry)) : Optional.empty(),
				isPlain ? Optional.of(this.factory.plain(entry)) : Optional.empty());
	}

	/**
	 * One backend server. Immutable and thread-safe.
	 *
	 * @param entry the entry of the host list, not null
	 * @param engine the adapter for streams, empty for a plain service, not null
	 * @param plain the adapter for plain calls, empty for an engine, not null
	 */
	record Backend(HostList.Entry entry, Optional<Engine> engine, Optional<PlainService> plain) {

		Backend withEntry(HostList.Entry newEntry) {
			return new Backend(newEntry, this.engine, this.plain);
		}

	}

}
