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
 * In-memory host list that can be made stale. Its fault target is {@code hosts}.
 * Thread-safe.
 */
public final class FakeHostList implements HostList {

	/** Name of the fault target. */
	public static final String TARGET = "hosts";

	/** Executes each read with its injected fault. */
	private final FaultyCallExecutor call;

	/** Current entries. Guarded by this. */
	private final Map<BackendServerId, Entry> entries = new LinkedHashMap<>();

	/**
	 * Entries at the time when the list was made stale, null if it is current. Guarded by
	 * this.
	 */
	private List<Entry> staleEntries;

	private FakeHostList(FaultyCallExecutor call) {
		this.call = call;
	}

	/**
	 * Returns an empty list.
	 * @param timer the timer that runs late effects, not null
	 * @param faults the source of injected faults, not null
	 * @return the list, never null
	 */
	public static FakeHostList create(TimerService timer, FaultInjector faults) {
		return new FakeHostList(new FaultyCallExecutor(timer, faults, TARGET, (delay) -> {
		}));
	}

	/**
	 * Adds an entry or replaces the one of the same id.
	 * @param entry the entry, not null
	 */
	public synchronized void put(Entry entry) {
		this.entries.put(entry.id(), entry);
	}

	/**
	 * Removes the entry of a host, if it exists.
	 * @param id the id of the host, not null
	 */
	public synchronized void remove(BackendServerId id) {
		this.entries.remove(id);
	}

	/**
	 * Marks a host as leaving or live.
	 * @param id the id of the host, not null
	 * @param isLeaving whether the host is to get no new work
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
	 * Makes the list stale or current.
	 * @param isStale whether readers see the present entries from now on, despite later
	 * changes
	 */
	public synchronized void setStale(boolean isStale) {
		this.staleEntries = isStale ? List.copyOf(this.entries.values()) : null;
	}

	@Override
	public Optional<List<Entry>> read() {
		return this.call.run(this::readNow, Optional::empty, Optional::empty);
	}

	private synchronized Optional<List<Entry>> readNow() {
		return Optional.of((this.staleEntries != null) ? this.staleEntries : List.copyOf(this.entries.values()));
	}

}
