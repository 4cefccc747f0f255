package org.celeryhill.planner;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Stream;

import io.reactivex.rxjava3.schedulers.Schedulers;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.HostId;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.Region;
import org.celeryhill.base.RevisionDocument;
import org.celeryhill.base.ServiceId;
import org.celeryhill.base.TimerService;
import org.celeryhill.fake.FakeEngine;
import org.celeryhill.fake.FakeEngineMemory;
import org.celeryhill.fake.FakeEngineSettings;
import org.celeryhill.fake.FakeHostList;
import org.celeryhill.fake.FakeObjectService;
import org.celeryhill.fake.FakePlainService;
import org.celeryhill.fake.FakeTableService;
import org.celeryhill.fake.FaultInjector;
import org.celeryhill.port.HostList;
import org.celeryhill.state.AttemptIds;
import org.celeryhill.state.CommandLedgerStore;
import org.celeryhill.state.ConditionalWriter;
import org.celeryhill.state.ConfigurationStore;
import org.celeryhill.state.LeaseStore;
import org.celeryhill.state.PlannedStopStore;
import org.celeryhill.state.RetryPolicy;
import picocli.CommandLine;

/**
 * Test fixture with six fake engines in three data centres, fake platform services, and
 * the components of any number of planner processes that use them.
 */
final class PlannerFixture {

	/** Service of the engines. */
	static final ServiceId SERVICE = ServiceId.of("beater-llm");

	/** Switches faults of all fakes on and off. */
	final FaultInjector faults = FaultInjector.ofSeed(61);

	/** Engines by id. */
	final Map<BackendServerId, FakeEngine> engines = new LinkedHashMap<>();

	final TimerService timer;

	final FakeTableService table;

	private final FakeObjectService objects;

	private final FakeHostList hosts;

	PlannerFixture(TimerService timer) {
		this.timer = timer;
		this.table = FakeTableService.create(timer, this.faults);
		this.objects = FakeObjectService.create(timer, this.faults);
		this.hosts = FakeHostList.create(timer, this.faults);
		for (int i = 0; i < 6; i++) {
			BackendServerId id = BackendServerId.of("engine-" + i);
			FakeEngineMemory memory = FakeEngineMemory.create(id, FakeEngineMemory.Settings.ofMemory(40L << 30), timer,
					this.faults);
			this.engines.put(id, FakeEngine.create(memory, FakeEngineSettings.defaults(), timer, this.faults));
			this.hosts.put(new HostList.Entry(id, HostList.Kind.ENGINE, SERVICE, URI.create("http://127.0.0.1:1"),
					DataCentre.of("dc-" + i % 3), Region.of("region-0"), false));
		}
	}

	static PlannerSettings parseSettings(String... extraFlags) {
		PlannerSettings settings = new PlannerSettings();
		String[] flags = { "--host-id=planner-host", "--data-centre=dc-0", "--region=region-0", "--admin-port=0",
				"--peer-port=0", "--host-list-url=http://127.0.0.1:1", "--table-url=http://127.0.0.1:1",
				"--object-url=http://127.0.0.1:1" };
		new CommandLine(settings)
			.parseArgs(Stream.concat(Stream.of(flags), Stream.of(extraFlags)).toArray(String[]::new));
		return settings;
	}

	static RevisionDocument readDemoRevision(long number) {
		Map<String, String> files = new TreeMap<>();
		try (Stream<Path> paths = Files.list(Path.of("..", "examples", "demo"))) {
			for (Path path : paths.toList()) {
				files.put(path.getFileName().toString(), Files.readString(path));
			}
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
		return new RevisionDocument(number, files);
	}

	PlannerPorts createPorts(Optional<SeededPeerNode> peers) {
		return new PlannerPorts(this.timer, this.table, this.objects, this.hosts,
				(entry) -> this.engines.get(entry.id()),
				(entry) -> FakePlainService.create(entry.id(), 1, this.timer, this.faults, (delay) -> {
				}), peers);
	}

	PlannerContext createContext(String host) {
		ConditionalWriter writer = ConditionalWriter.create(this.table, AttemptIds.random(), RetryPolicy.immediate());
		EngineFleet fleet = new EngineFleet(this.hosts, (entry) -> this.engines.get(entry.id()), this.timer,
				Schedulers.trampoline(), 1);
		RevisionTracker revisions = new RevisionTracker(
				ConfigurationStore.create(writer, this.objects, this.timer, (document) -> List.of()));
		fleet.refreshHostList();
		revisions.apply(readDemoRevision(1));
		HostId id = HostId.of(host);
		return new PlannerContext(parseSettings(), this.timer, writer,
				LeaseStore.create(writer, this.timer, id, Duration.ofSeconds(9)),
				CommandLedgerStore.create(writer, this.timer, id, Duration.ofSeconds(30)), fleet, revisions,
				new DemandReader(this.table, this.timer, Duration.ofSeconds(20)),
				new PlannedStopTracker(PlannedStopStore.create(writer, this.timer), this.timer, id),
				Schedulers.trampoline(), new AtomicBoolean());
	}

	long ready(String model) {
		return this.engines.values()
			.stream()
			.filter((engine) -> engine.memory().report().isReady(ModelId.of(model)))
			.count();
	}

	long maxOvercommittedBytes() {
		return this.engines.values()
			.stream()
			.mapToLong((engine) -> engine.memory().overcommittedBytes())
			.max()
			.orElse(0);
	}

}
