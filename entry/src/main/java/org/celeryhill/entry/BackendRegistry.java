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
 * Registry of the backend servers in the host list, with their adapters. Thread-safe.
 */
final class BackendRegistry {

	/** Creates adapters. */
	private final BackendFactory factory;

	/** Registered backend servers by id. */
	private final Map<BackendServerId, Backend> backends = new ConcurrentHashMap<>();

	/** Targets of planned stops. */
	private volatile Set<StopTarget> stopTargets = Set.of();

	BackendRegistry(BackendFactory factory) {
		this.factory = Objects.requireNonNull(factory, "factory");
	}

	Optional<Engine> engine(BackendServerId id) {
		return Optional.ofNullable(this.backends.get(id)).flatMap(Backend::engine);
	}

	Optional<PlainService> plainService(BackendServerId id) {
		return Optional.ofNullable(this.backends.get(id)).flatMap(Backend::plainService);
	}

	Optional<Backend> find(BackendServerId id) {
		return Optional.ofNullable(this.backends.get(id));
	}

	/**
	 * Returns the hosts of the legacy serving system that accept new requests.
	 * @param service the service that the hosts serve, not null
	 * @return the sorted ids, never null
	 */
	List<BackendServerId> legacyHosts(ServiceId service) {
		return this.backends.values()
			.stream()
			.map(Backend::entry)
			.filter((entry) -> entry.kind() == HostList.Kind.LEGACY && !isLeaving(entry))
			.filter((entry) -> entry.service().equals(service))
			.map(HostList.Entry::id)
			.sorted()
			.toList();
	}

	/**
	 * Returns whether a host gets no new requests, according to the host list or a
	 * planned stop.
	 * @param entry the entry of the host, not null
	 * @return true if the host is leaving
	 */
	boolean isLeaving(HostList.Entry entry) {
		return entry.leaving()
				|| this.stopTargets.stream().anyMatch((stop) -> stop.covers(entry.id(), entry.dataCentre()));
	}

	/**
	 * Replaces the targets of planned stops.
	 * @param targets the targets of all planned stops in force, not null
	 * @return true if they have changed
	 */
	boolean setStopTargets(Set<StopTarget> targets) {
		Set<StopTarget> copy = Set.copyOf(targets);
		boolean isChanged = !copy.equals(this.stopTargets);
		this.stopTargets = copy;
		return isChanged;
	}

	List<Backend> all() {
		return List.copyOf(this.backends.values());
	}

	/**
	 * Adds or updates an entry of the host list. The adapter is kept if address and kind
	 * are unchanged, else replaced.
	 * @param entry the entry to register, not null
	 */
	void register(HostList.Entry entry) {
		this.backends.compute(entry.id(), (id, existing) -> {
			boolean isSame = existing != null && existing.entry().address().equals(entry.address())
					&& existing.entry().kind() == entry.kind();
			return isSame ? existing.withEntry(entry) : createBackend(entry);
		});
	}

	void remove(BackendServerId id) {
		this.backends.remove(id);
	}

	private Backend createBackend(HostList.Entry entry) {
		boolean isEngine = entry.kind() == HostList.Kind.ENGINE || entry.kind() == HostList.Kind.LEGACY;
		boolean isPlain = entry.kind() == HostList.Kind.PLAIN_SERVICE || entry.kind() == HostList.Kind.LEGACY;
		return new Backend(entry, isEngine ? Optional.of(this.factory.engine(entry)) : Optional.empty(),
				isPlain ? Optional.of(this.factory.plainService(entry)) : Optional.empty());
	}

	/**
	 * One backend server. Immutable and thread-safe.
	 *
	 * @param entry the entry of the host list, not null
	 * @param engine the adapter for generations, empty for a plain service, not null
	 * @param plainService the adapter for calls of a plain service, empty for an engine,
	 * not null
	 */
	record Backend(HostList.Entry entry, Optional<Engine> engine, Optional<PlainService> plainService) {

		Backend withEntry(HostList.Entry newEntry) {
			return new Backend(newEntry, this.engine, this.plainService);
		}

	}

}
