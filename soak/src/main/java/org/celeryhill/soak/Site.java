package org.celeryhill.soak;

import java.io.IOException;
import java.nio.file.Path;

import org.celeryhill.platform.FakePlatformStore;
import org.celeryhill.platform.PlatformTables;

/**
 * Deployment on the loopback interface: store, backend servers and edge daemons.
 * Thread-safe.
 */
final class Site implements AutoCloseable {

	/** Host header of the requests. */
	static final String HOST = "soak.example";

	private final FakePlatformStore store = new FakePlatformStore();

	private final StoreFaults storeFaults = new StoreFaults(this.store);

	private final SoakContext context;

	private final ServerPool servers;

	private final Fleet fleet;

	Site(SoakSettings settings, SoakContext context, Path folder) throws IOException {
		this.context = context;
		this.servers = new ServerPool(settings.servers, settings.engines, context, this.store);
		DaemonCommand command = new DaemonCommand(settings.directory, settings.classPath);
		this.fleet = new Fleet(settings.processes, command, context, folder,
				"127.0.0.1:" + this.store.address().getPort());
	}

	SoakContext context() {
		return this.context;
	}

	SoakClock clock() {
		return this.context.clock();
	}

	Fleet fleet() {
		return this.fleet;
	}

	ServerPool servers() {
		return this.servers;
	}

	StoreFaults storeFaults() {
		return this.storeFaults;
	}

	void start() {
		this.store.put(PlatformTables.OPERATOR_TABLE, PlatformTables.CONFIGURATION, RequestKind.configuration());
		this.servers.start();
		this.fleet.start();
	}

	@Override
	public void close() {
		this.fleet.close();
		this.servers.close();
		this.store.close();
	}

}
