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

	static final String SERVICE = "plain";

	/** Host header of the requests. */
	static final String HOST = "soak.example";

	/** Path prefix of requests that may be repeated. */
	static final String REPEATABLE = "/many/";

	/** Path prefix of requests that may run once at most. */
	static final String UNREPEATABLE = "/once/";

	static final int TIMEOUT_MILLIS = 4000;

	private final FakePlatformStore store = new FakePlatformStore();

	private final StoreFaults storeFaults = new StoreFaults(this.store);

	private final SoakContext context;

	private final ServerPool servers;

	private final Fleet fleet;

	Site(SoakSettings settings, SoakContext context, Path folder) throws IOException {
		this.context = context;
		this.servers = new ServerPool(settings.servers, context, this.store);
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
		this.store.put(PlatformTables.OPERATOR_TABLE, PlatformTables.CONFIGURATION, configuration());
		this.servers.start();
		this.fleet.start();
	}

	private static String configuration() {
		return ("{'version':1,'routes':[" + route("many", REPEATABLE, "idempotent", 3) + ","
				+ route("once", UNREPEATABLE, "non_idempotent", 1) + "],'services':[{'name':'" + SERVICE
				+ "','health_path':'" + Wire.HEALTH_PATH + "','max_connections':96}],'limits':{"
				+ "'max_header_bytes':16384,'max_body_bytes':4194304,'header_timeout_ms':5000,"
				+ "'idle_timeout_ms':10000}}")
			.replace('\'', '"');
	}

	private static String route(String name, String prefix, String type, int attempts) {
		return "{'name':'" + name + "','host':'" + HOST + "','path_prefix':'" + prefix + "','service':'" + SERVICE
				+ "','type':'" + type + "','timeout_ms':" + TIMEOUT_MILLIS
				+ ",'target_latency_ms':200,'priority':2,'max_attempts':" + attempts + "}";
	}

	@Override
	public void close() {
		this.fleet.close();
		this.servers.close();
		this.store.close();
	}

}
