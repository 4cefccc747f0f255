package org.celeryhill.soak;

import java.util.ArrayDeque;
import java.util.Deque;

import org.celeryhill.platform.FakePlatformStore;

/**
 * Faults of the store, of which the one that began last is in force. Thread-safe.
 */
final class StoreFaults {

	private final FakePlatformStore store;

	private final Deque<FakePlatformStore.Fault> active = new ArrayDeque<>();

	StoreFaults(FakePlatformStore store) {
		this.store = store;
	}

	synchronized void begin(FakePlatformStore.Fault fault) {
		this.active.addLast(fault);
		this.store.setFault(fault);
	}

	synchronized void end(FakePlatformStore.Fault fault) {
		this.active.removeLastOccurrence(fault);
		this.store.setFault(this.active.isEmpty() ? FakePlatformStore.Fault.NONE : this.active.getLast());
	}

	void dropHistory() {
		this.store.dropHistory();
	}

}
