package org.celeryhill.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.celeryhill.platform.FakePlatformStore;
import org.celeryhill.platform.PlatformTables;

/**
 * Backend servers of the service, and their entries in the store. Thread-safe.
 */
final class ServerPool implements AutoCloseable {

	private final List<BackendServer> servers = new ArrayList<>();

	private final FakePlatformStore store;

	ServerPool(int serverCount, int engineCount, SoakContext context, FakePlatformStore store) {
		this.store = store;
		for (int i = 0; i < serverCount; i++) {
			this.servers.add(new BackendServer("i-" + i, Service.PLAIN, context));
		}
		for (int i = 0; i < engineCount; i++) {
			this.servers.add(new BackendServer("m-" + i, Service.MODEL, context));
		}
	}

	int size() {
		return this.servers.size();
	}

	void start() {
		for (int i = 0; i < size(); i++) {
			restart(i);
		}
	}

	synchronized void restart(int index) {
		this.servers.get(index).start();
		join(index);
	}

	synchronized void end(int index) {
		this.servers.get(index).close();
		leave(index);
	}

	/**
	 * Puts the entry of a server into the list, unless the server has ended.
	 * @param index the index of the server
	 */
	synchronized void join(int index) {
		BackendServer server = this.servers.get(index);
		if (server.isRunning()) {
			this.store.put(PlatformTables.BACKEND_SERVERS_TABLE, server.id(), server.entry());
		}
	}

	synchronized void leave(int index) {
		this.store.remove(PlatformTables.BACKEND_SERVERS_TABLE, this.servers.get(index).id());
	}

	void begin(FaultKind fault, int target) {
		apply(target, (server) -> server.begin(fault));
	}

	void end(FaultKind fault, int target) {
		apply(target, (server) -> server.end(fault));
	}

	// The index after the last server stands for all of them.
	private void apply(int target, Consumer<BackendServer> action) {
		if (target < size()) {
			action.accept(this.servers.get(target));
		}
		else {
			this.servers.forEach(action);
		}
	}

	@Override
	public void close() {
		this.servers.forEach(BackendServer::close);
	}

}
