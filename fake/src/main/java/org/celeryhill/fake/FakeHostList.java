package org.celeryhill.fake;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.TimerService;
import org.celeryhill.port.HostList;

/**
 * Host list in memory that can lag. Faults come under the target {@code hosts}.
 * Thread-safe.
 */
public final class FakeHostList implements HostList {

	/** Name of the fault target. */
	public static final String TARGET = "hosts";

	/** Runs each read under its fault. */
	private final FaultyCall call;

	/** Entries as they are. Guarded by this. */
	private final Map<BackendServerId, Entry> entries = new LinkedHashMap<>();

	/**
	 * Entries as they were when the list froze, null if it is current. Guarded by this.
	 */
	private List<Entry> frozen;

	private FakeHostList(FaultyCall call) {
		this.call = call;
	}

	/**
	 * Returns an empty list.
	 * @param timer the time of late effects, not null
	 * @param faults the faults, not null
	 * @return the list, never null
	 */
	public static FakeHostList create(TimerService timer, FaultInjector faults) {
		return new FakeHostList(new FaultyCall(timer, faults, TARGET, (delay) -> {
		}));
	}

	/**
	 * Adds or replaces an entry.
	 * @param entry the entry, not null
	 */
	public synchronized void put(Entry entry) {
		this.entries.put(entry.id(), entry);
	}

	/**
	 * Removes an entry, if it exists.
	 * @param id the id, not null
	 */
	public synchronized void remove(BackendServerId id) {
		this.entries.remove(id);
	}

	/**
	 * Marks a host as leaving or live.
	 * @param id the id, not null
	 * @param isLeaving whether the host leaves
	 * @return false if the list has no such host
	 */
	public synchronized boolean setLeaving(BackendServerId id, boolean isLeaving) {
		Entry entry = this.entries.get(Objects.requireNonNull(id, "id"));
		if (entry == null) {
			return false;
		}
		put(new Entry(id, entry.kind(), entry.service(), entry.address(), entry.dataCentre(), entry.region(),
				isLeaving));
		return true;
	}

	/**
	 * Freezes the list that readers see, or lets it follow again.
	 * @param isStale whether readers keep seeing the present entries
	 */
	public synchronized void setStale(boolean isStale) {
		this.frozen = isStale ? List.copyOf(this.entries.values()) : null;
	}

	@Override
	public Optional<List<Entry>> read() {
		return this.call.run(this::current, Optional::empty, Optional::empty);
	}

	private synchronized Optional<List<Entry>> current() {
		return Optional.of((this.frozen != null) ? this.frozen : List.copyOf(this.entries.values()));
	}

}
