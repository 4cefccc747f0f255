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
import org.celeryhill.fake.FaultSwitchboard;
import org.celeryhill.http.HttpServerKit;
import org.celeryhill.http.ServerSettings;
import org.celeryhill.port.HostList;

/**
 * All stand-ins of a process, each on a port of its own. Thread-safe once started.
 */
public final class Standins {

	/** Time of loads of adapters at full speed. */
	private static final Duration ADAPTER_LOAD = Duration.ofMillis(12);

	/** Loads of adapters at once at full speed. */
	private static final int ADAPTERS_AT_ONCE = 90;

	/** Calls that a plain service server runs at once. */
	private static final int PLAIN_CAPACITY = 16;

	/** Settings. */
	private final StandinOptions options;

	/** Time. */
	private final TimerService timer = SystemTimerService.create();

	/** Faults of all stand-ins. */
	private final FaultSwitchboard faults;

	/** Host list. */
	private final FakeHostList hosts;

	/** Weight store. */
	private final FakeWeightStore weights;

	/** Engines by id, the legacy system's included. */
	private final Map<BackendServerId, FakeEngine> engines = new LinkedHashMap<>();

	/** Plain service servers by id, the legacy system's included. */
	private final Map<BackendServerId, FakePlainService> plainServers = new LinkedHashMap<>();

	/** Addresses by name, in the order of starting. */
	private final Map<String, URI> addresses = new LinkedHashMap<>();

	/** Servers that run. */
	private final List<HttpServerKit> servers = new ArrayList<>();

	private Standins(StandinOptions options) {
		this.options = options;
		this.faults = FaultSwitchboard.ofSeed(options.seed());
		this.hosts = FakeHostList.create(this.timer, this.faults);
		this.weights = FakeWeightStore.create(this.timer, this.faults, options.modelSpeed(),
				new FakeWeightStore.Speed(ADAPTER_LOAD, ADAPTERS_AT_ONCE));
	}

	/**
	 * Starts all stand-ins.
	 * @param options the settings, not null, checked
	 * @return the running stand-ins, never null
	 * @throws IllegalStateException if an address cannot be listened on
	 */
	static Standins start(StandinOptions options) {
		Standins standins = new Standins(options);
		standins.addWeights();
		standins.startStores();
		standins.startEngines();
		standins.startPlainServers();
		standins.startLegacy();
		standins.addEntryHosts();
		standins.startAdmin();
		return standins;
	}

	private void addWeights() {
		for (String weight : this.options.weights()) {
			String[] parts = weight.split("=", 2);
			String[] size = parts[1].split(":", 2);
			this.weights.put(ModelId.of(parts[0]), Long.parseLong(size[0]), size.length > 1);
		}
	}

	private void startStores() {
		HttpServerKit.Builder table = builder("table");
		StoreHandlers.addTable(table, FakeTableService.create(this.timer, this.faults, Standins::sleep));
		start("table", table);
		HttpServerKit.Builder object = builder("object");
		StoreHandlers.addObjects(object, FakeObjectService.create(this.timer, this.faults, Standins::sleep));
		start("object", object);
		HttpServerKit.Builder hostList = builder("hosts");
		StoreHandlers.addHosts(hostList, this.hosts);
		start("hosts", hostList);
		HttpServerKit.Builder weightStore = builder("weights");
		StoreHandlers.addWeights(weightStore, this.weights);
		start("weights", weightStore);
	}

	private void startEngines() {
		for (int i = 0; i < this.options.engines(); i++) {
			BackendServerId id = BackendServerId.of(this.options.engineService() + "-" + (i + 1));
			FakeEngine engine = newEngine(id, i % 2 == 0, Optional.of(this.weights));
			HttpServerKit.Builder builder = builder(id.value());
			EngineHandlers.add(builder, engine);
			list(id, HostList.Kind.ENGINE, this.options.engineService(), start(id.value(), builder), i);
		}
	}

	private FakeEngine newEngine(BackendServerId id, boolean isTokenChecked, Optional<FakeWeightStore> store) {
		FakeEngineMemory memory = FakeEngineMemory.create(id, this.options.memorySettings(isTokenChecked), this.timer,
				this.faults, Standins::sleep);
		FakeEngine engine = FakeEngine.create(memory, this.options.engineSettings(), this.timer, this.faults, store);
		engine.setPeers((peer) -> Optional.ofNullable(this.engines.get(peer)));
		this.engines.put(id, engine);
		return engine;
	}

	private void startPlainServers() {
		for (int i = 0; i < this.options.plainServers(); i++) {
			BackendServerId id = BackendServerId.of(this.options.plainService() + "-" + (i + 1));
			HttpServerKit.Builder builder = builder(id.value());
			PlainHandler.add(builder, newPlainServer(id));
			list(id, HostList.Kind.PLAIN_SERVICE, this.options.plainService(), start(id.value(), builder), i);
		}
	}

	private FakePlainService newPlainServer(BackendServerId id) {
		FakePlainService service = FakePlainService.create(id, PLAIN_CAPACITY, this.timer, this.faults,
				Standins::sleep);
		this.plainServers.put(id, service);
		return service;
	}

	private void startLegacy() {
		BackendServerId engineId = BackendServerId.of("legacy-" + this.options.engineService());
		BackendServerId plainId = BackendServerId.of("legacy-" + this.options.plainService());
		FakeEngine engine = newEngine(engineId, false, Optional.empty());
		engine.setServingAnyModel(true);
		HttpServerKit.Builder builder = builder("legacy");
		EngineHandlers.add(builder, engine);
		PlainHandler.add(builder, newPlainServer(plainId));
		URI address = start("legacy", builder);
		list(engineId, HostList.Kind.LEGACY, this.options.engineService(), address, 0);
		list(plainId, HostList.Kind.LEGACY, this.options.plainService(), address, 0);
	}

	private void addEntryHosts() {
		for (int i = 0; i < this.options.entryHosts().size(); i++) {
			String[] parts = this.options.entryHosts().get(i).split("=", 2);
			list(BackendServerId.of(parts[0]), HostList.Kind.ENTRY, "entry", URI.create(parts[1]), i);
		}
	}

	private void startAdmin() {
		HttpServerKit.Builder builder = builder("admin").port(this.options.adminPort());
		new AdminHandlers(this).addTo(builder);
		start("admin", builder);
	}

	private HttpServerKit.Builder builder(String name) {
		ServerSettings settings = ServerSettings.defaults().withThreads(1, 2 * PLAIN_CAPACITY);
		return HttpServerKit.builder("standin-" + name).host(this.options.address()).settings(settings);
	}

	private URI start(String name, HttpServerKit.Builder builder) {
		HttpServerKit server = builder.start();
		this.servers.add(server);
		this.addresses.put(name, server.uri());
		return server.uri();
	}

	private void list(BackendServerId id, HostList.Kind kind, String service, URI address, int index) {
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

	FaultSwitchboard faults() {
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
	 * Returns what the stand-ins have seen.
	 * @return the counters by name, with a JSON form, never null
	 */
	Map<String, Object> counters() {
		Map<String, Integer> executions = new TreeMap<>();
		Map<String, Long> calls = new TreeMap<>();
		this.plainServers.forEach((id, server) -> {
			server.executions().forEach((key, count) -> executions.merge(key, count, Integer::sum));
			calls.put(id.value(), server.total());
		});
		Map<String, Long> overcommitted = new TreeMap<>();
		Map<String, Long> dropped = new TreeMap<>();
		Map<String, Long> streams = new TreeMap<>();
		this.engines.forEach((id, engine) -> {
			overcommitted.put(id.value(), engine.memory().overcommittedBytes());
			dropped.put(id.value(), engine.droppedStreams());
			streams.put(id.value(), engine.startedStreams());
		});
		Map<String, Object> counters = new LinkedHashMap<>();
		counters.put("executions", executions);
		counters.put("calls", calls);
		counters.put("overcommittedBytes", overcommitted);
		counters.put("droppedStreams", dropped);
		counters.put("startedStreams", streams);
		counters.put("mostModelLoads", this.weights.mostModelLoads());
		return counters;
	}

	/** Stops all stand-ins without waiting for requests. */
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
