package org.celeryhill.planner;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.HostId;
import org.celeryhill.base.ServiceId;
import org.celeryhill.base.TimerService;
import org.celeryhill.config.RevisionParser;
import org.celeryhill.config.ServiceTemplate;
import org.celeryhill.http.HttpServerKit;
import org.celeryhill.port.HostList;
import org.celeryhill.port.PlainService;
import org.celeryhill.state.AttemptIds;
import org.celeryhill.state.CommandLedger;
import org.celeryhill.state.ConditionalWriter;
import org.celeryhill.state.ConfigurationStore;
import org.celeryhill.state.LeaseStore;
import org.celeryhill.state.PlannedStops;
import org.celeryhill.state.RetryPolicy;

/**
 * Planner daemon: one {@link GroupPlanner} for each service of the configuration. All
 * rounds of a group, and those of the host list, demand, configuration and stops, run on
 * threads of their own, one at a time each. There is no lock around more than one of
 * them. Thread-safe.
 */
final class PlannerDaemon {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(PlannerDaemon.class);

	/** Tries of one operation on a row. */
	private static final int STORE_TRIES = 3;

	/** Pause before the second try of an operation on a row. */
	private static final Duration STORE_DELAY = Duration.ofMillis(50);

	/** Periods after which an unchanged demand row does not count. */
	private static final int DEMAND_PERIODS = 4;

	/** Settings. */
	private final PlannerSettings settings;

	/** Everything outside the daemon. */
	private final PlannerPorts ports;

	/** What the groups share. */
	private final PlannerContext context;

	/** Metrics. */
	private final PrometheusRegistry registry = new PrometheusRegistry();

	/** Metrics of rounds. */
	private final PlannerMetrics metrics = new PlannerMetrics(this.registry);

	/** Groups by service. */
	private final Map<ServiceId, GroupPlanner> groups = new ConcurrentHashMap<>();

	/** Threads of the rounds. */
	private final ExecutorService rounds = Executors.newCachedThreadPool();

	/** Threads that talk to engines. */
	private final ExecutorService workerThreads;

	/** Periodic tasks. */
	private final CompositeDisposable tasks = new CompositeDisposable();

	/** Whether the first host list has been read. */
	private final AtomicBoolean isReady = new AtomicBoolean();

	/** Whether the daemon is stopping. */
	private final AtomicBoolean isStopping = new AtomicBoolean();

	/** Admin server. */
	private HttpServerKit admin;

	PlannerDaemon(PlannerSettings settings, PlannerPorts ports) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.ports = Objects.requireNonNull(ports, "ports");
		this.workerThreads = Executors.newFixedThreadPool(settings.workerThreads);
		TimerService timer = ports.timer();
		HostId host = HostId.of(settings.hostId);
		ConditionalWriter writer = ConditionalWriter.create(ports.table(), AttemptIds.random(),
				RetryPolicy.blocking(timer, STORE_TRIES, STORE_DELAY));
		ConfigurationStore configuration = ConfigurationStore.create(writer, ports.objects(), timer,
				(document) -> RevisionParser.parse(document).findings());
		this.context = new PlannerContext(settings, timer, writer,
				LeaseStore.create(writer, timer, host, settings.leaseDuration),
				CommandLedger.create(writer, timer, host, settings.commandCopyBound),
				new EngineFleet(ports.hosts(), ports.engines(), timer, Schedulers.from(this.workerThreads),
						settings.workerThreads),
				new RevisionSource(configuration),
				new DemandReader(ports.table(), timer, settings.demandPeriod.multipliedBy(DEMAND_PERIODS)),
				new StopTracker(PlannedStops.create(writer, timer), timer, host), Schedulers.from(this.workerThreads),
				new AtomicBoolean());
	}

	/** Starts the daemon. */
	void start() {
		this.admin = HttpServerKit.builder("celeryhill-planner")
			.host(this.settings.address)
			.port(this.settings.adminPort)
			.registry(this.registry)
			.readiness(() -> this.isReady.get() && !this.isStopping.get())
			.dump(this::dump)
			.start();
		this.ports.peers().ifPresent(this::join);
		repeat(this.settings.headPeriod, this::followRevision);
		repeat(this.settings.demandPeriod, this.context.demand()::refresh);
		repeat(this.settings.stopPeriod, this::followStops);
		repeat(this.settings.roundPeriod, this::refreshHosts);
		repeat(this.settings.roundPeriod, this::startGroups);
		LOG.info("planner_started", "host", this.settings.hostId, "admin", this.admin.uri());
	}

	private void repeat(Duration period, Runnable task) {
		AtomicBoolean isRunning = new AtomicBoolean();
		this.tasks.add(this.ports.timer().ticks(period).startWithItem(0L).subscribe((tick) -> {
			if (isRunning.compareAndSet(false, true)) {
				this.rounds.execute(() -> runGuarded(task, isRunning));
			}
		}));
	}

	private void runGuarded(Runnable task, AtomicBoolean isRunning) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			this.metrics.failure();
			LOG.warn("round_failed", "error", ex);
		}
		finally {
			isRunning.set(false);
		}
	}

	private void join(PeerLink link) {
		this.tasks.add(link.node()
			.revisions()
			.observeOn(Schedulers.from(this.rounds))
			.subscribe(this.context.revisions()::apply));
		this.metrics.peers(link.node());
		link.node().start();
	}

	private void followRevision() {
		this.context.revisions()
			.follow()
			.ifPresent((document) -> this.ports.peers().ifPresent((link) -> link.node().offerRevision(document)));
	}

	private void refreshHosts() {
		this.context.fleet().refreshHosts();
		this.ports.peers().ifPresent((link) -> link.seeds().update(this.context.fleet().entries()));
		this.isReady.set(true);
	}

	private void startGroups() {
		for (ServiceTemplate template : this.context.revisions().revision().templates()) {
			if (template.kind() == ServiceTemplate.Kind.MODEL_ENGINE) {
				this.groups.computeIfAbsent(template.service(), this::startGroup);
			}
		}
	}

	private GroupPlanner startGroup(ServiceId service) {
		GroupPlanner group = new GroupPlanner(service, this.context);
		repeat(this.settings.roundPeriod, () -> runGroup(service, group));
		return group;
	}

	private void runGroup(ServiceId service, GroupPlanner group) {
		if (this.isStopping.get() || this.context.stops().isOwnStop()) {
			group.release();
			return;
		}
		long start = this.ports.timer().nanoTime();
		group.run();
		this.metrics.round(service.value(), group.isHolder(), (this.ports.timer().nanoTime() - start) / 1e9);
	}

	private void followStops() {
		StopTracker stops = this.context.stops();
		stops.refresh();
		if (stops.isOwnStop()) {
			if (this.groups.values().stream().noneMatch(GroupPlanner::isHolder)) {
				stops.reportOwnDone();
			}
			return;
		}
		boolean isHolder = this.groups.values().stream().anyMatch(GroupPlanner::isHolder);
		if (isHolder && !stops.dump().isEmpty()) {
			this.groups.keySet().forEach(this.context.fleet()::refreshReports);
			stops.reportProgress(List.copyOf(this.context.fleet().all().values()), plainLoads());
		}
	}

	private Map<HostList.Entry, PlainService.Load> plainLoads() {
		return this.ports.hosts()
			.read()
			.orElse(List.of())
			.stream()
			.filter((entry) -> entry.kind() == HostList.Kind.PLAIN_SERVICE)
			.filter(this.context.stops()::isStopping)
			.collect(Collectors.toMap((entry) -> entry, (entry) -> this.ports.plain().apply(entry).load()));
	}

	/** Stops the daemon: ends rounds and gives leases back. Blocks. */
	void stop() {
		LOG.info("planner_stopping", "host", this.settings.hostId);
		this.isStopping.set(true);
		this.tasks.dispose();
		this.rounds.shutdown();
		try {
			long wait = this.settings.leaseDuration.toMillis();
			if (!this.rounds.awaitTermination(wait, TimeUnit.MILLISECONDS)) {
				LOG.warn("rounds_did_not_end", "waited_ms", wait);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.groups.values().forEach(GroupPlanner::release);
		this.ports.peers().ifPresent((link) -> link.node().close());
		this.workerThreads.shutdown();
		this.admin.stop(Duration.ofSeconds(1));
	}

	Map<String, Object> dump() {
		Map<String, Object> dump = new LinkedHashMap<>();
		dump.put("host", this.settings.hostId);
		dump.put("revision", this.context.revisions().revision().number());
		dump.put("groups", this.groups.values().stream().map(GroupPlanner::dump).toList());
		this.ports.peers().ifPresent((link) -> {
			dump.put("peers", link.node().counts());
			dump.put("members", link.node().members().stream().map(Object::toString).toList());
		});
		dump.put("planned_stops", this.context.stops().dump());
		dump.put("demand", this.context.demand()
			.demand()
			.entrySet()
			.stream()
			.collect(Collectors.toMap((entry) -> entry.getKey().value(), (entry) -> entry.getValue().toString())));
		dump.put("engines",
				this.context.fleet()
					.all()
					.entrySet()
					.stream()
					.collect(Collectors.toMap((entry) -> entry.getKey().value(),
							(entry) -> entry.getValue().report().map(Object::toString).orElse("no report"))));
		return dump;
	}

}
