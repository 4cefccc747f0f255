package org.celeryhill.entry;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.FencingToken;
import org.celeryhill.base.HostId;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.Region;
import org.celeryhill.base.RevisionDocument;
import org.celeryhill.base.ServiceId;
import org.celeryhill.base.SystemTimerService;
import org.celeryhill.base.TimerService;
import org.celeryhill.fake.FakeEngine;
import org.celeryhill.fake.FakeEngineMemory;
import org.celeryhill.fake.FakeEngineSettings;
import org.celeryhill.fake.FakeHostList;
import org.celeryhill.fake.FakeObjectService;
import org.celeryhill.fake.FakePlainService;
import org.celeryhill.fake.FakeTableService;
import org.celeryhill.fake.FaultInjector;
import org.celeryhill.port.Engine;
import org.celeryhill.port.EngineCommand;
import org.celeryhill.port.HostList;
import org.celeryhill.port.PlainService;
import org.celeryhill.state.AttemptIds;
import org.celeryhill.state.ConditionalWriter;
import org.celeryhill.state.ConfigurationStore;
import org.celeryhill.state.RetryPolicy;
import org.celeryhill.traffic.DefaultTrafficController;
import org.celeryhill.traffic.TrafficController;
import org.celeryhill.traffic.TrafficTunables;
import picocli.CommandLine;

/**
 * Environment of a test: fakes of all external services, and entry daemons that listen on
 * loopback ports.
 */
final class TestEnvironment implements AutoCloseable {

	static final String API_KEY_A = "mill-a-key";

	static final String API_KEY_B = "mill-b-key";

	static final String MODEL = "mill-a/furnish@1";

	private static final long GIB = 1L << 30;

	final TimerService timer = SystemTimerService.create();

	final FaultInjector faults = FaultInjector.ofSeed(1);

	final FakeTableService table = FakeTableService.create(this.timer, this.faults, TestEnvironment::sleep);

	final FakeObjectService objects = FakeObjectService.create(this.timer, this.faults, TestEnvironment::sleep);

	final FakeHostList hosts = FakeHostList.create(this.timer, this.faults);

	final Map<BackendServerId, FakeEngine> engines = new LinkedHashMap<>();

	final Map<BackendServerId, FakePlainService> services = new LinkedHashMap<>();

	/** Engine adapters that replace the fakes. */
	final Map<BackendServerId, Engine> engineOverrides = new ConcurrentHashMap<>();

	final Map<BackendServerId, PlainService> serviceOverrides = new ConcurrentHashMap<>();

	/** Decorates the traffic controllers of daemons that are started afterwards. */
	UnaryOperator<TrafficController> controllerDecorator = UnaryOperator.identity();

	private final List<EntryDaemon> daemons = new ArrayList<>();

	private long headRevision;

	/**
	 * Creates an environment with two engines, two hosts of a plain service and one
	 * legacy host of each kind.
	 * @param newSystemPercent the percentage of requests that the new system serves
	 */
	TestEnvironment(int newSystemPercent) {
		for (String id : List.of("engine-1", "engine-2")) {
			engine(id, HostList.Kind.ENGINE).setServingAnyModel(false);
			load(id, MODEL);
		}
		engine("legacy-llm", HostList.Kind.LEGACY).setServingAnyModel(true);
		service("dispatch-1", HostList.Kind.PLAIN_SERVICE);
		service("dispatch-2", HostList.Kind.PLAIN_SERVICE);
		service("legacy-dispatch", HostList.Kind.LEGACY);
		acceptConfiguration(newSystemPercent);
		await(() -> this.engines.get(BackendServerId.of("engine-2")).currentReport().isReady(ModelId.of(MODEL)));
	}

	private FakeEngine engine(String name, HostList.Kind kind) {
		BackendServerId id = BackendServerId.of(name);
		FakeEngineMemory.Settings memory = new FakeEngineMemory.Settings(80 * GIB, 0, false, 64, Duration.ofMillis(1),
				Duration.ofMillis(1));
		FakeEngineSettings speed = FakeEngineSettings.defaults()
			.withStepTimes(Duration.ofMillis(2), Duration.ZERO)
			.withReportProperties(Duration.ofMillis(20), 0);
		FakeEngine engine = FakeEngine.create(
				FakeEngineMemory.create(id, memory, this.timer, this.faults, TestEnvironment::sleep), speed, this.timer,
				this.faults);
		this.engines.put(id, engine);
		addToHostList(id, kind, "beater-llm");
		return engine;
	}

	private void load(String name, String model) {
		BackendServerId id = BackendServerId.of(name);
		this.engines.get(id)
			.send(new EngineCommand(AttemptId.of("load-" + name), id, EngineCommand.Action.LOAD_MODEL,
					ModelId.of(model), 16 * GIB, new FencingToken(1)));
	}

	private void service(String name, HostList.Kind kind) {
		BackendServerId id = BackendServerId.of(name);
		this.services.put(id, FakePlainService.create(id, 16, this.timer, this.faults, TestEnvironment::sleep));
		addToHostList(id, kind, "dispatch");
	}

	private void addToHostList(BackendServerId id, HostList.Kind kind, String service) {
		this.hosts.put(new HostList.Entry(id, kind, ServiceId.of(service), URI.create("http://127.0.0.1:1"),
				DataCentre.of("dc-1"), Region.of("bc-lower"), false));
	}

	/**
	 * Adds an entry host with a free peer port to the host list.
	 * @param host the id of the host
	 * @return the flag that sets the peer port of its daemon
	 */
	String listEntryHost(String host) {
		try (ServerSocket socket = new ServerSocket(0)) {
			this.hosts.put(new HostList.Entry(BackendServerId.of(host), HostList.Kind.ENTRY, ServiceId.of("entry"),
					URI.create("http://127.0.0.1:" + socket.getLocalPort()), DataCentre.of("dc-1"),
					Region.of("bc-lower"), false));
			return "--peer-port=" + socket.getLocalPort();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Stores the configuration of the demo example, with the given traffic split, as the
	 * next accepted revision.
	 * @param newSystemPercent the percentage of requests that the new system serves
	 */
	void acceptConfiguration(int newSystemPercent) {
		Map<String, String> files = new TreeMap<>();
		try (Stream<Path> paths = Files.list(Path.of("..", "examples", "demo"))) {
			for (Path path : paths.toList()) {
				String text = Files.readString(path)
					.replace("new-system-percent: 100", "new-system-percent: " + newSystemPercent);
				files.put(path.getFileName().toString(), text);
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		ConditionalWriter writer = ConditionalWriter.create(this.table, AttemptIds.random(), RetryPolicy.immediate());
		ConfigurationStore store = ConfigurationStore.create(writer, this.objects, this.timer, (document) -> List.of());
		ConfigurationStore.ProposeResult result = store.propose(new RevisionDocument(0, files), this.headRevision,
				"test");
		this.headRevision = ((ConfigurationStore.Accepted) result).number();
	}

	/**
	 * Starts a daemon and waits until it is ready.
	 * @param host the id of its host
	 * @param flags flags that override the defaults of the tests
	 * @return the ready daemon
	 */
	EntryDaemon startDaemon(String host, String... flags) {
		List<String> args = new ArrayList<>(List.of("--host-id=" + host, "--data-centre=dc-1", "--region=bc-lower",
				"--peer-port=0", "--api-port=0", "--admin-port=0", "--event-id-key=0123456789abcdef0123",
				"--balancer-delay=PT0S", "--head-period=PT0.1S", "--host-list-period=PT0.1S", "--report-period=PT0.02S",
				"--stop-period=PT0.1S", "--resume-timeout=PT0.4S", "--stall-timeout=PT1S", "--demand-period=PT0.2S"));
		for (String flag : flags) {
			args.removeIf((arg) -> arg.startsWith(flag.substring(0, flag.indexOf('=') + 1)));
			args.add(flag);
		}
		EntrySettings settings = CommandLine.populateCommand(new EntrySettings(), args.toArray(new String[0]));
		DefaultTrafficController traffic = DefaultTrafficController.create(HostId.of(host), DataCentre.of("dc-1"),
				"test", 1, TrafficTunables.DEFAULTS);
		EntryDaemon daemon = new EntryDaemon(settings,
				new DaemonDependencies(this.timer, this.table, this.objects, this.hosts, new FakeBackendFactory(),
						this.controllerDecorator.apply(traffic), EntryMain.createPeerFactory(settings, this.timer)));
		this.daemons.add(daemon);
		daemon.start();
		await(daemon::isReady);
		return daemon;
	}

	FakeEngine engine(String name) {
		return this.engines.get(BackendServerId.of(name));
	}

	/**
	 * Stops the engines that have run a stream. They are selected before the first one
	 * stops, since stopping it may start a stream on another engine.
	 */
	void stopUsedEngines() {
		List<FakeEngine> used = this.engines.values().stream().filter((one) -> one.startedStreams() > 0).toList();
		used.forEach(FakeEngine::stop);
	}

	int countExecutions(String key) {
		return this.services.values().stream().mapToInt((one) -> one.executionCounts().getOrDefault(key, 0)).sum();
	}

	static void sleep(Duration time) {
		try {
			Thread.sleep(time.toMillis());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Waits up to 15 s until a condition holds.
	 * @param condition the condition to check
	 */
	static void await(BooleanSupplier condition) {
		long end = System.nanoTime() + Duration.ofSeconds(15).toNanos();
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > end) {
				throw new AssertionError("condition did not hold within 15 s");
			}
			sleep(Duration.ofMillis(5));
		}
	}

	@Override
	public void close() {
		this.daemons.forEach(EntryDaemon::close);
	}

	/** Returns the fakes or their replacements as adapters. */
	private final class FakeBackendFactory implements BackendFactory {

		@Override
		public Engine engine(HostList.Entry entry) {
			Engine fake = TestEnvironment.this.engines.get(entry.id());
			return TestEnvironment.this.engineOverrides.getOrDefault(entry.id(),
					(fake != null) ? fake : MissingEngine.INSTANCE);
		}

		@Override
		public PlainService plainService(HostList.Entry entry) {
			PlainService fake = TestEnvironment.this.services.getOrDefault(entry.id(),
					TestEnvironment.this.services.get(BackendServerId.of("legacy-dispatch")));
			return TestEnvironment.this.serviceOverrides.getOrDefault(entry.id(), fake);
		}

	}

}
