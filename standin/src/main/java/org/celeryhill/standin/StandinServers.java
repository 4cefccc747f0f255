package org.celeryhill.standin;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.Region;
import org.celeryhill.base.ServiceId;
import org.celeryhill.base.SystemTimerService;
import org.celeryhill.base.TimerService;
import org.celeryhill.fake.FakeEngine;
import org.celeryhill.fake.FakeEngineMemory;
import org.celeryhill.fake.FakeHostList;
import org.celeryhill.fake.FakeObjectService;
import org.celeryhill.fake.FakePlainService;
import org.celeryhill.fake.FakeTableService;
import org.celeryhill.fake.FakeWeightStore;
import org.celeryhill.fake.FaultInjector;
import org.celeryhill.http.HttpServer;
import org.celeryhill.http.ServerSettings;
import org.celeryhill.port.HostList;

/**
 * HTTP servers of all stand-ins of a process, each on its own port. Thread-safe once
 * started.
 */
public final class StandinServers {

	/** Duration of the load of an adapter at full speed. */
	private static final Duration ADAPTER_LOAD_TIME = Duration.ofMillis(12);

	/** Most adapter loads at once that the weight store serves at full speed. */
	private static final int FULL_SPEED_ADAPTER_LOADS = 90;

	/** Most calls that a plain service server runs at once. */
	private static final int PLAIN_SERVER_CAPACITY = 16;

	/** Settings of the stand-ins. */
	private final StandinOptions options;

	/** Clock and timers of all stand-ins. */
	private final TimerService timer = SystemTimerService.create();

	/** Injected faults of all stand-ins. */
	private final FaultInjector faults;

	/** Stand-in for the host list. */
	private final FakeHostList hosts;

	/** Stand-in for the weight store. */
	private final FakeWeightStore weights;

	/** Engines by id, including that of the legacy system. */
	private final Map<BackendServerId, FakeEngine> engines = new LinkedHashMap<>();

	/** Plain service servers by id, including that of the legacy system. */
	private final Map<BackendServerId, FakePlainService> plainServers = new LinkedHashMap<>();

	/** Addresses by name, in the order in which the servers were started. */
	private final Map<String, URI> addresses = new LinkedHashMap<>();

	/** Servers that were started. */
	private final List<HttpServer> servers = new ArrayList<>();

	private StandinServers(StandinOptions options) {
		this.options = options;
		this.faults = FaultInjector.ofSeed(options.seed());
		this.hosts = FakeHostList.create(this.timer, this.faults);
		this.weights = FakeWeightStore.create(this.timer, this.faults, options.modelSpeed(),
				new FakeWeightStore.LoadSpeed(ADAPTER_LOAD_TIME, FULL_SPEED_ADAPTER_LOADS));
	}

	/**
	 * Starts all stand-ins.
	 * @param options the settings, validated, not null
	 * @return the running stand-ins, never null
	 * @throws IllegalStateException if a server cannot listen on its address
	 */
	static StandinServers start(StandinOptions options) {
		StandinServers standins = new StandinServers(options);
		standins.addStoredWeights();
		standins.startStoreServers();
		standins.startEngines();
		standins.startPlainServers();
		standins.startLegacyServer();
		standins.addEntryHosts();
		standins.startAdminServer();
		return standins;
	}

	private void addStoredWeights() {
		for (String weight : this.options.weights()) {
			String[] parts = weight.split("=", 2);
			String[] size = parts[1].split(":", 2);
			this.weights.put(ModelId.of(parts[0]), Long.parseLong(size[0]), size.length > 1);
		}
	}

	private void startStoreServers() {
		HttpServer.Builder table = newServerBuilder("table");
		StoreHandlers.addTableRoutes(table, FakeTableService.create(this.timer, this.faults, StandinServers::sleep));
		startServer("table", table);
		HttpServer.Builder object = newServerBuilder("object");
		StoreHandlers.addObjectRoutes(object, FakeObjectService.create(this.timer, this.faults, StandinServers::sleep));
		startServer("object", object);
		HttpServer.Builder hostList = newServerBuilder("hosts");
		StoreHandlers.addHostListRoute(hostList, this.hosts);
		startServer("hosts", hostList);
		HttpServer.Builder weightStore = newServerBuilder("weights");
		StoreHandlers.addWeightStoreRoute(weightStore, this.weights);
		startServer("weights", weightStore);
	}

	private void startEngines() {
		for (int i = 0; i < this.options.engines(); i++) {
			BackendServerId id = BackendServerId.of(this.options.engineService() + "-" + (i + 1));
			FakeEngine engine = newEngine(id, i % 2 == 0, Optional.of(this.weights));
			HttpServer.Builder builder = newServerBuilder(id.value());
			EngineHandlers.addRoutes(builder, engine);
			addToHostList(id, HostList.Kind.ENGINE, this.options.engineService(), startServer(id.value(), builder), i);
		}
	}

	private FakeEngine newEngine(BackendServerId id, boolean isTokenChecked, Optional<FakeWeightStore> store) {
		FakeEngineMemory memory = FakeEngineMemory.create(id, this.options.memorySettings(isTokenChecked), this.timer,
				this.faults, StandinServers::sleep);
		FakeEngine engine = FakeEngine.create(memory, this.options.engineSettings(), this.timer, this.faults, store);
		engine.setPeers((peer) -> Optional.ofNullable(this.engines.get(peer)));
		this.engines.put(id, engine);
		return engine;
	}

	private void startPlainServers() {
		for (int i = 0; i < this.options.plainServers(); i++) {
			BackendServerId id = BackendServerId.of(this.options.plainService() + "-" + (i + 1));
			HttpServer.Builder builder = newServerBuilder(id.value());
			PlainServiceHandlers.addRoutes(builder, newPlainServer(id));
			addToHostList(id, HostList.Kind.PLAIN_SERVICE, this.options.plainService(),
					startServer(id.value(), builder), i);
		}
	}

	private FakePlainService newPlainServer(BackendServerId id) {
		FakePlainService service = FakePlainService.create(id, PLAIN_SERVER_CAPACITY, this.timer, this.faults,
				StandinServers::sleep);
		this.plainServers.put(id, service);
		return service;
	}

	private void startLegacyServer() {
		BackendServerId engineId = BackendServerId.of("legacy-" + this.options.engineService());
		BackendServerId plainId = BackendServerId.of("legacy-" + this.options.plainService());
		FakeEngine engine = newEngine(engineId, false, Optional.empty());
		engine.setServingAnyModel(true);
		HttpServer.Builder builder = newServerBuilder("legacy");
		EngineHandlers.addRoutes(builder, engine);
		PlainServiceHandlers.addRoutes(builder, newPlainServer(plainId));
		URI address = startServer("legacy", builder);
		addToHostList(engineId, HostList.Kind.LEGACY, this.options.engineService(), address, 0);
		addToHostList(plainId, HostList.Kind.LEGACY, this.options.plainService(), address, 0);
	}

	private void addEntryHosts() {
		for (int i = 0; i < this.options.entryHosts().size(); i++) {
			String[] parts = this.options.entryHosts().get(i).split("=", 2);
			addToHostList(BackendServerId.of(parts[0]), HostList.Kind.ENTRY, "entry", URI.create(parts[1]), i);
		}
	}

	private void startAdminServer() {
		HttpServer.Builder builder = newServerBuilder("admin").port(this.options.adminPort());
		new AdminHandlers(this).addRoutes(builder);
		startServer("admin", builder);
	}

	private HttpServer.Builder newServerBuilder(String name) {
		ServerSettings settings = ServerSettings.defaults().withThreads(1, 2 * PLAIN_SERVER_CAPACITY);
		return HttpServer.builder("standin-" + name).host(this.options.address()).settings(settings);
	}

	private URI startServer(String name, HttpServer.Builder builder) {
		HttpServer server = builder.start();
		this.servers.add(server);
		this.addresses.put(name, server.uri());
		return server.uri();
	}

	private void addToHostList(BackendServerId id, HostList.Kind kind, String service, URI address, int index) {
		this.hosts.put(new HostList.Entry(id, kind, ServiceId.of(service), address,
				DataCentre.of(this.options.dataCentre(index)), Region.of(this.options.region()), false));
	}

	/**
	 * Returns the addresses that the stand-ins listen on.
	 * @return the addresses by name, never null
	 */
	public Map<String, URI> addresses() {
		return new LinkedHashMap<>(this.addresses);
	}

	FaultInjector faults() {
		return this.faults;
	}

	FakeHostList hosts() {
		return this.hosts;
	}

	Optional<FakeEngine> engine(String id) {
		return Optional.ofNullable(this.engines.get(BackendServerId.of(id)));
	}

	Optional<FakePlainService> plainServer(String id) {
		return Optional.ofNullable(this.plainServers.get(BackendServerId.of(id)));
	}

	/**
	 * Returns the counters of the stand-ins.
	 * @return the counters by name, as values that can be written as JSON, never null
	 */
	Map<String, Object> counters() {
		Map<String, Integer> executions = new TreeMap<>();
		Map<String, Long> calls = new TreeMap<>();
		this.plainServers.forEach((id, server) -> {
			server.executionCounts().forEach((key, count) -> executions.merge(key, count, Integer::sum));
			calls.put(id.value(), server.completedCalls());
		});
		Map<String, Long> overcommittedByEngine = new TreeMap<>();
		Map<String, Long> droppedByEngine = new TreeMap<>();
		Map<String, Long> startedByEngine = new TreeMap<>();
		this.engines.forEach((id, engine) -> {
			overcommittedByEngine.put(id.value(), engine.memory().overcommittedBytes());
			droppedByEngine.put(id.value(), engine.droppedStreams());
			startedByEngine.put(id.value(), engine.startedStreams());
		});
		Map<String, Object> counters = new LinkedHashMap<>();
		counters.put("executions", executions);
		counters.put("calls", calls);
		counters.put("overcommittedBytes", overcommittedByEngine);
		counters.put("droppedStreams", droppedByEngine);
		counters.put("startedStreams", startedByEngine);
		counters.put("mostModelLoads", this.weights.maxConcurrentModelLoads());
		return counters;
	}

	/** Stops all stand-ins without waiting for running requests. */
	public void stop() {
		this.servers.forEach((server) -> server.stop(Duration.ofMillis(1)));
	}

	private static void sleep(Duration time) {
		try {
			Thread.sleep(time.toMillis());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
