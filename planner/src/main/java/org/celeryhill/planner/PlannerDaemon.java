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
import org.celeryhill.http.HttpServer;
import org.celeryhill.port.HostList;
import org.celeryhill.port.PlainService;
import org.celeryhill.state.AttemptIds;
import org.celeryhill.state.CommandLedgerStore;
import org.celeryhill.state.ConditionalWriter;
import org.celeryhill.state.ConfigurationStore;
import org.celeryhill.state.LeaseStore;
import org.celeryhill.state.PlannedStopStore;
import org.celeryhill.state.RetryPolicy;

/**
 * Planner daemon, which runs one {@link ServicePlanner} for each model engine service of
 * the configuration. The planning rounds of each service and the tasks that refresh the
 * host list, demand, configuration and planned stops run concurrently, but each runs only
 * once at a time. No lock covers more than one of them. Thread-safe.
 */
final class PlannerDaemon {

	private static final EventLog LOG = EventLog.of(PlannerDaemon.class);

	/** Maximum number of attempts of an operation on a row. */
	private static final int MAX_STORE_ATTEMPTS = 3;

	/** Delay before the second attempt of an operation on a row. */
	private static final Duration STORE_RETRY_DELAY = Duration.ofMillis(50);

	/** Number of demand periods after which an unchanged demand row is ignored. */
	private static final int DEMAND_MAX_AGE_PERIODS = 4;

	private final PlannerSettings settings;

	/** Adapters for the external services. */
	private final PlannerPorts ports;

	/** Components shared by the service planners. */
	private final PlannerContext context;

	/** Registry of all metrics. */
	private final PrometheusRegistry registry = new PrometheusRegistry();

	/** Metrics of planning rounds. */
	private final PlannerMetrics metrics = new PlannerMetrics(this.registry);

	/** Planners by service. */
	private final Map<ServiceId, ServicePlanner> servicePlanners = new ConcurrentHashMap<>();

	/** Threads that run planning rounds and other periodic tasks. */
	private final ExecutorService taskExecutor = Executors.newCachedThreadPool();

	/** Threads that send requests to engines. */
	private final ExecutorService workerThreads;

	/** Subscriptions of the periodic tasks and of revisions from peers. */
	private final CompositeDisposable tasks = new CompositeDisposable();

	/** Whether the first attempt to read the host list has ended. */
	private final AtomicBoolean isReady = new AtomicBoolean();

	private final AtomicBoolean isStopping = new AtomicBoolean();

	/** HTTP server for operators. */
	private HttpServer admin;

	PlannerDaemon(PlannerSettings settings, PlannerPorts ports) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.ports = Objects.requireNonNull(ports, "ports");
		this.workerThreads = Executors.newFixedThreadPool(settings.workerThreads);
		TimerService timer = ports.timer();
		HostId host = HostId.of(settings.hostId);
		ConditionalWriter writer = ConditionalWriter.create(ports.table(), AttemptIds.random(),
				RetryPolicy.blocking(timer, MAX_STORE_ATTEMPTS, STORE_RETRY_DELAY));
		ConfigurationStore configuration = ConfigurationStore.create(writer, ports.objects(), timer,
				(document) -> RevisionParser.parse(document).findings());
		this.context = new PlannerContext(settings, timer, writer,
				LeaseStore.create(writer, timer, host, settings.leaseDuration),
				CommandLedgerStore.create(writer, timer, host, settings.commandCopyBound),
				new EngineFleet(ports.hosts(), ports.engines(), timer, Schedulers.from(this.workerThreads),
						settings.workerThreads),
				new RevisionTracker(configuration),
				new DemandReader(ports.table(), timer, settings.demandPeriod.multipliedBy(DEMAND_MAX_AGE_PERIODS)),
				new PlannedStopTracker(PlannedStopStore.create(writer, timer), timer, host),
				Schedulers.from(this.workerThreads), new AtomicBoolean());
	}

	void start() {
		this.admin = HttpServer.builder("celeryhill-planner")
			.host(this.settings.address)
			.port(this.settings.adminPort)
			.registry(this.registry)
			.readiness(() -> this.isReady.get() && !this.isStopping.get())
			.dump(this::dumpState)
			.start();
		this.ports.peers().ifPresent(this::startPeerNode);
		scheduleTask(this.settings.headPeriod, this::applyNewerRevision);
		scheduleTask(this.settings.demandPeriod, this.context.demand()::refresh);
		scheduleTask(this.settings.stopPeriod, this::updatePlannedStops);
		scheduleTask(this.settings.roundPeriod, this::refreshHostList);
		scheduleTask(this.settings.roundPeriod, this::startServicePlanners);
		LOG.info("planner_started", "host", this.settings.hostId, "admin", this.admin.uri());
	}

	private void scheduleTask(Duration period, Runnable task) {
		AtomicBoolean isRunning = new AtomicBoolean();
		this.tasks.add(this.ports.timer().ticks(period).startWithItem(0L).subscribe((tick) -> {
			if (isRunning.compareAndSet(false, true)) {
				this.taskExecutor.execute(() -> runTask(task, isRunning));
			}
		}));
	}

	private void runTask(Runnable task, AtomicBoolean isRunning) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			this.metrics.recordFailure();
			LOG.warn("round_failed", "error", ex);
		}
		finally {
			isRunning.set(false);
		}
	}

	private void startPeerNode(SeededPeerNode peerNode) {
		this.tasks.add(peerNode.node()
			.revisions()
			.observeOn(Schedulers.from(this.taskExecutor))
			.subscribe(this.context.revisions()::apply));
		this.metrics.registerPeerMetrics(peerNode.node());
		peerNode.node().start();
	}

	private void applyNewerRevision() {
		this.context.revisions()
			.fetchAndApplyNewer()
			.ifPresent(
					(document) -> this.ports.peers().ifPresent((peerNode) -> peerNode.node().offerRevision(document)));
	}

	private void refreshHostList() {
		this.context.fleet().refreshHostList();
		this.ports.peers().ifPresent((peerNode) -> peerNode.seeds().updateFromHostList(this.context.fleet().entries()));
		this.isReady.set(true);
	}

	private void startServicePlanners() {
		for (ServiceTemplate template : this.context.revisions().revision().templates()) {
			if (template.kind() == ServiceTemplate.Kind.MODEL_ENGINE) {
				this.servicePlanners.computeIfAbsent(template.service(), this::startServicePlanner);
			}
		}
	}

	private ServicePlanner startServicePlanner(ServiceId service) {
		ServicePlanner servicePlanner = new ServicePlanner(service, this.context);
		scheduleTask(this.settings.roundPeriod, () -> runServicePlanner(service, servicePlanner));
		return servicePlanner;
	}

	private void runServicePlanner(ServiceId service, ServicePlanner servicePlanner) {
		if (this.isStopping.get() || this.context.stops().isOwnStopPlanned()) {
			servicePlanner.releaseLease();
			return;
		}
		long start = this.ports.timer().nanoTime();
		servicePlanner.runRound();
		this.metrics.recordRound(service.value(), servicePlanner.isLeaseHolder(),
				(this.ports.timer().nanoTime() - start) / 1e9);
	}

	private void updatePlannedStops() {
		PlannedStopTracker stops = this.context.stops();
		stops.refresh();
		if (stops.isOwnStopPlanned()) {
			if (this.servicePlanners.values().stream().noneMatch(ServicePlanner::isLeaseHolder)) {
				stops.reportOwnStopDone();
			}
			return;
		}
		boolean isHolder = this.servicePlanners.values().stream().anyMatch(ServicePlanner::isLeaseHolder);
		if (isHolder && !stops.dumpState().isEmpty()) {
			this.servicePlanners.keySet().forEach(this.context.fleet()::refreshReports);
			stops.reportProgress(List.copyOf(this.context.fleet().enginesById().values()), readPlainServerLoads());
		}
	}

	private Map<HostList.Entry, PlainService.Load> readPlainServerLoads() {
		return this.ports.hosts()
			.read()
			.orElse(List.of())
			.stream()
			.filter((entry) -> entry.kind() == HostList.Kind.PLAIN_SERVICE)
			.filter(this.context.stops()::isStopping)
			.collect(Collectors.toMap((entry) -> entry, (entry) -> this.ports.plain().apply(entry).load()));
	}

	/**
	 * Stops the periodic tasks, releases the leases and closes all connections. Blocks.
	 */
	void stop() {
		LOG.info("planner_stopping", "host", this.settings.hostId);
		this.isStopping.set(true);
		this.tasks.dispose();
		this.taskExecutor.shutdown();
		try {
			long timeoutMillis = this.settings.leaseDuration.toMillis();
			if (!this.taskExecutor.awaitTermination(timeoutMillis, TimeUnit.MILLISECONDS)) {
				LOG.warn("rounds_did_not_end", "waited_ms", timeoutMillis);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.servicePlanners.values().forEach(ServicePlanner::releaseLease);
		this.ports.peers().ifPresent((peerNode) -> peerNode.node().close());
		this.workerThreads.shutdown();
		this.admin.stop(Duration.ofSeconds(1));
	}

	Map<String, Object> dumpState() {
		Map<String, Object> dump = new LinkedHashMap<>();
		dump.put("host", this.settings.hostId);
		dump.put("revision", this.context.revisions().revision().number());
		dump.put("groups", this.servicePlanners.values().stream().map(ServicePlanner::dumpState).toList());
		this.ports.peers().ifPresent((peerNode) -> {
			dump.put("peers", peerNode.node().counts());
			dump.put("members", peerNode.node().members().stream().map(Object::toString).toList());
		});
		dump.put("planned_stops", this.context.stops().dumpState());
		dump.put("demand", this.context.demand()
			.demand()
			.entrySet()
			.stream()
			.collect(Collectors.toMap((entry) -> entry.getKey().value(), (entry) -> entry.getValue().toString())));
		dump.put("engines",
				this.context.fleet()
					.enginesById()
					.entrySet()
					.stream()
					.collect(Collectors.toMap((entry) -> entry.getKey().value(),
							(entry) -> entry.getValue().report().map(Object::toString).orElse("no report"))));
		return dump;
	}

}
