package org.celeryhill.entry;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.HostId;
import org.celeryhill.base.RevisionDocument;
import org.celeryhill.config.RevisionParser;
import org.celeryhill.http.HttpServer;
import org.celeryhill.http.IoWorkers;
import org.celeryhill.peer.Member;
import org.celeryhill.peer.PeerNode;
import org.celeryhill.peer.ThriftPeerNode;
import org.celeryhill.state.AttemptIds;
import org.celeryhill.state.ClaimPolicy;
import org.celeryhill.state.ClaimStore;
import org.celeryhill.state.ConditionalWriter;
import org.celeryhill.state.ConfigurationStore;
import org.celeryhill.state.PlannedStopStore;
import org.celeryhill.state.RetryPolicy;
import org.celeryhill.state.ServingSystem;

/**
 * Creates, starts and gracefully stops the components of one entry daemon. Thread-safe.
 */
final class EntryDaemon {

	/** Queue capacity of an executor for each of its threads. */
	private static final int QUEUE_CAPACITY_PER_THREAD = 8;

	/** Number of threads for periodic tasks and for polling backend servers. */
	private static final int CONTROL_THREADS = 16;

	/** Time between two checks for backend servers that are due to be polled. */
	private static final Duration POLL_CHECK_PERIOD = Duration.ofMillis(50);

	/** Delay before the first retry of a table operation. */
	private static final Duration STORE_RETRY_DELAY = Duration.ofMillis(20);

	/** Time between two deletions of old claims. */
	private static final Duration CLAIM_COLLECTION_PERIOD = Duration.ofMinutes(5);

	/** Settings of the daemon. */
	private final EntrySettings settings;

	/** External dependencies. */
	private final DaemonDependencies dependencies;

	/** Executor of blocking work for requests of callers. */
	private final ExecutorService workers;

	/** Executor of periodic tasks and polls. */
	private final ExecutorService controlExecutor;

	/** Guards the traffic controller and executes its decisions. */
	private final TrafficDispatcher dispatcher;

	/** Registry of backend servers. */
	private final BackendRegistry backends;

	/** Updates the traffic controller's view of backend servers. */
	private final BackendTracker backendTracker;

	/** Holds the configuration in force. */
	private final RevisionHolder revisions;

	/** Measures the demand for each model. */
	private final DemandMeter demand;

	/** Generations that run in this daemon. */
	private final ActiveRelays relays;

	/** Writes rows of the table service conditionally. */
	private final ConditionalWriter writer;

	/** Store of the claims of non-idempotent calls. */
	private final ClaimStore claimStore;

	/** Applies planned stops. */
	private final PlannedStopFollower stopFollower;

	/** Serves non-idempotent calls. */
	private final ClaimedCallHandler claimedCalls;

	/** Root handler of the callers' API. */
	private final ApiRootHandler rootHandler;

	/** Runs the periodic tasks. */
	private final PeriodicTasks periodicTasks;

	/** Registry of the metrics. */
	private final PrometheusRegistry registry = new PrometheusRegistry();

	/** Metrics of the daemon. */
	private final EntryMetrics metrics;

	/** Exchange with the peers, null if the daemon runs without peers. */
	private PeerExchange peerExchange;

	/** Server of the callers' API, null before the start. */
	private ApiServer api;

	/** Server of the pages for operators, null before the start. */
	private HttpServer admin;

	/** Cleared when the shutdown begins. */
	private volatile boolean isAccepting = true;

	EntryDaemon(EntrySettings settings, DaemonDependencies dependencies) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.dependencies = Objects.requireNonNull(dependencies, "dependencies");
		this.metrics = new EntryMetrics(this.registry);
		this.writer = ConditionalWriter.create(dependencies.table(), AttemptIds.random(),
				RetryPolicy.blocking(dependencies.timer(), RetryPolicy.DEFAULT_MAX_TRIES, STORE_RETRY_DELAY));
		this.workers = newExecutor("worker", settings.workerThreads);
		this.controlExecutor = newExecutor("control", CONTROL_THREADS);
		this.dispatcher = new TrafficDispatcher(dependencies.trafficController(), dependencies.timer());
		this.backends = new BackendRegistry(dependencies.backendFactory());
		this.backendTracker = new BackendTracker(this.backends, this.dispatcher, dependencies.timer());
		this.revisions = new RevisionHolder(this.dispatcher, dependencies.timer(), this.metrics);
		this.demand = new DemandMeter(this.revisions::index);
		this.relays = new ActiveRelays(dependencies.timer(), IoWorkers.sharedIoThreads());
		this.periodicTasks = new PeriodicTasks(dependencies.timer(), this.controlExecutor);
		LegacyRouter legacyRouter = new LegacyRouter(this.backends, this.workers, settings.maxLegacyAttempts);
		GenerationContext generation = new GenerationContext(this.backends::engine, dependencies.timer(),
				settings.generationTimeouts(), this.metrics, this.demand);
		PlainCallContext plain = new PlainCallContext(this.backends::plainService,
				(system) -> router(system, legacyRouter), this.workers, dependencies.timer(), settings.callTimeout,
				this.metrics);
		this.claimStore = ClaimStore.create(this.writer, dependencies.timer(), new ClaimPolicy(settings.claimTimeout,
				ClaimPolicy.DEFAULT.epochPeriod(), ClaimPolicy.DEFAULT.retainedEpochs()));
		this.claimedCalls = new ClaimedCallHandler(this.claimStore, plain, settings.claimWait);
		GenerationHandler generations = new GenerationHandler(
				new GenerationParser(settings.defaultMaxTokens, settings.maxTokens, dependencies.timer()),
				new EventIdCodec(settings.eventIdKeys()), (system) -> router(system, legacyRouter), generation,
				this.relays, settings.apiLimits());
		this.rootHandler = new ApiRootHandler(this.revisions::index, generations,
				new PlainCallHandler(plain, this.claimedCalls), settings.apiLimits(), this.metrics);
		this.stopFollower = new PlannedStopFollower(PlannedStopStore.create(this.writer, dependencies.timer()),
				this.backendTracker, HostId.of(settings.hostId), DataCentre.of(settings.dataCentre),
				this.rootHandler::openRequests);
	}

	private AttemptRouter router(ServingSystem system, LegacyRouter legacyRouter) {
		return (system == ServingSystem.NEW) ? this.dispatcher : legacyRouter;
	}

	private static ExecutorService newExecutor(String name, int threads) {
		AtomicInteger count = new AtomicInteger();
		ThreadPoolExecutor executor = new ThreadPoolExecutor(threads, threads, 30, TimeUnit.SECONDS,
				new LinkedBlockingQueue<>(threads * QUEUE_CAPACITY_PER_THREAD), (task) -> {
					Thread thread = new Thread(task, name + "-" + count.incrementAndGet());
					thread.setDaemon(true);
					return thread;
				});
		executor.allowCoreThreadTimeOut(true);
		return executor;
	}

	/**
	 * Starts the servers, threads and periodic tasks.
	 * @throws IllegalStateException if an address cannot be listened on
	 */
	void start() {
		this.dispatcher.start();
		this.dependencies.peerFactory()
			.map((factory) -> factory.create(this.backendTracker::entryPeerAddresses))
			.ifPresent(this::startPeers);
		this.admin = new AdminPages(this).start(this.settings.address, this.settings.adminPort, this.registry);
		this.api = ApiServer.start(this.settings.address, this.settings.apiPort, this.settings.ioThreads,
				this.settings.apiLimits(), this.rootHandler);
		startPeriodicTasks();
	}

	private void startPeers(PeerNode node) {
		this.peerExchange = new PeerExchange(node, this.dispatcher, this.revisions, this.dependencies.timer());
		this.peerExchange.start();
		if (node instanceof ThriftPeerNode thrift) {
			this.metrics.registerPeerMetrics(thrift);
		}
		this.periodicTasks.schedule("usage", this.settings.usagePeriod, this.peerExchange::publishUsage);
	}

	private void startPeriodicTasks() {
		LoadPoller poller = new LoadPoller(this.backends, this.backendTracker, this.controlExecutor,
				this.settings.reportPeriod, this.settings.reportsPerSecond);
		ConfigurationStore configuration = ConfigurationStore.create(this.writer, this.dependencies.objects(),
				this.dependencies.timer(), (document) -> RevisionParser.parse(document).findings());
		ConfigurationFollower follower = new ConfigurationFollower(configuration, this.revisions, this::offerToPeers);
		DemandPublisher publisher = new DemandPublisher(this.dependencies.table(), HostId.of(this.settings.hostId),
				this.demand, this.settings.demandPeriod);
		this.periodicTasks.schedule("hosts", this.settings.hostListPeriod,
				() -> this.dependencies.hosts().read().ifPresent(this.backendTracker::onHostList));
		this.periodicTasks.schedule("loads", POLL_CHECK_PERIOD,
				() -> poller.startDuePolls(this.dependencies.timer().nanoTime()));
		this.periodicTasks.schedule("stops", this.settings.stopPeriod, this.stopFollower::refresh);
		this.periodicTasks.schedule("claims", CLAIM_COLLECTION_PERIOD, this.claimStore::collectExpired);
		this.periodicTasks.schedule("configuration", this.settings.headPeriod, follower::refresh);
		this.periodicTasks.schedule("demand", this.settings.demandPeriod, publisher::publish);
	}

	private void offerToPeers(RevisionDocument document) {
		if (this.peerExchange != null) {
			this.peerExchange.node().offerRevision(document);
		}
	}

	/**
	 * Returns the peer processes that are assumed to be alive.
	 * @return the members, empty if the daemon runs without peers, never null
	 */
	List<Member> members() {
		return (this.peerExchange != null) ? this.peerExchange.node().members() : List.of();
	}

	/**
	 * Stops the daemon gracefully. Blocks until it has stopped.
	 * @return true if all requests ended within the drain timeout
	 */
	boolean stop() {
		return new GracefulShutdown(this, this.settings).run();
	}

	void markNotReady() {
		this.isAccepting = false;
	}

	/** Closes servers and threads; requests that still run are aborted. */
	void close() {
		this.periodicTasks.close();
		if (this.peerExchange != null) {
			this.peerExchange.close();
		}
		this.relays.close();
		this.dispatcher.close();
		if (this.api != null) {
			this.api.close();
		}
		if (this.admin != null) {
			this.admin.stop(Duration.ZERO);
		}
		this.workers.shutdownNow();
		this.controlExecutor.shutdownNow();
	}

	boolean isReady() {
		return this.isAccepting && !this.stopFollower.isStopping() && this.revisions.number() > 0
				&& this.backendTracker.isReady();
	}

	URI apiUri() {
		return this.api.uri();
	}

	URI adminUri() {
		return this.admin.uri();
	}

	ApiRootHandler rootHandler() {
		return this.rootHandler;
	}

	ActiveRelays relays() {
		return this.relays;
	}

	ClaimedCallHandler claimedCalls() {
		return this.claimedCalls;
	}

	TrafficDispatcher dispatcher() {
		return this.dispatcher;
	}

	RevisionHolder revisions() {
		return this.revisions;
	}

	BackendRegistry backends() {
		return this.backends;
	}

	/**
	 * Returns the state dump for operators.
	 * @return a tree of maps, lists and scalars, never null
	 */
	Map<String, Object> dump() {
		return new StateReport(this, this.settings).toTree();
	}

}
