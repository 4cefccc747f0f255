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
import org.celeryhill.http.HttpServerKit;
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
 * One entry daemon: wires its parts, starts them, and stops them gracefully. Thread-safe.
 */
final class EntryDaemon {

	/** Calls that may wait for a worker thread, for each thread. */
	private static final int QUEUED_PER_WORKER = 8;

	/** Threads for questions to backend servers and platform services. */
	private static final int CONTROL_THREADS = 16;

	/** Time between two looks at which backend servers are due. */
	private static final Duration POLL_TICK = Duration.ofMillis(50);

	/** Delay before the first repetition of a store operation. */
	private static final Duration STORE_RETRY_DELAY = Duration.ofMillis(20);

	/** Time between two collections of old claims. */
	private static final Duration CLAIM_COLLECTION = Duration.ofMinutes(5);

	/** Settings. */
	private final EntrySettings settings;

	/** Everything outside. */
	private final Ports ports;

	/** Workers for calls of callers. */
	private final ExecutorService workers;

	/** Workers for control. */
	private final ExecutorService control;

	/** Lock and dispatcher of the traffic controller. */
	private final TrafficGate gate;

	/** Backend servers. */
	private final Backends backends;

	/** View of backend servers. */
	private final BackendTracker tracker;

	/** Configuration in force. */
	private final RevisionHolder revisions;

	/** Demand by model. */
	private final DemandMeter demand;

	/** Running generations. */
	private final LiveRelays relays;

	/** Writes rows of the table service. */
	private final ConditionalWriter writer;

	/** Claims of non-idempotent calls. */
	private final ClaimStore claimStore;

	/** Planned stops. */
	private final StopFollower stops;

	/** Non-idempotent calls. */
	private final ClaimRunner claims;

	/** Root of the callers' API. */
	private final ApiRoot root;

	/** Periodic control tasks. */
	private final PeriodicTasks tasks;

	/** Metrics. */
	private final PrometheusRegistry registry = new PrometheusRegistry();

	/** What the metrics show. */
	private final EntryMetrics metrics;

	/** Exchange with the peers, null when alone. */
	private PeerExchange peers;

	/** Server for callers, null before the start. */
	private ApiServer api;

	/** Server for operators, null before the start. */
	private HttpServerKit admin;

	/** Cleared when shutdown begins. */
	private volatile boolean isAccepting = true;

	EntryDaemon(EntrySettings settings, Ports ports) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.ports = Objects.requireNonNull(ports, "ports");
		this.metrics = new EntryMetrics(this.registry);
		this.writer = ConditionalWriter.create(ports.table(), AttemptIds.random(),
				RetryPolicy.blocking(ports.timer(), RetryPolicy.DEFAULT_MAX_TRIES, STORE_RETRY_DELAY));
		this.workers = pool("worker", settings.workerThreads);
		this.control = pool("control", CONTROL_THREADS);
		this.gate = new TrafficGate(ports.traffic(), ports.timer());
		this.backends = new Backends(ports.backends());
		this.tracker = new BackendTracker(this.backends, this.gate, ports.timer());
		this.revisions = new RevisionHolder(this.gate, ports.timer(), this.metrics);
		this.demand = new DemandMeter(this.revisions::index);
		this.relays = new LiveRelays(ports.timer(), IoWorkers.sharedIoThreads());
		this.tasks = new PeriodicTasks(ports.timer(), this.control);
		LegacyRouter legacy = new LegacyRouter(this.backends, this.workers, settings.maxLegacyAttempts);
		GenerationContext generation = new GenerationContext(this.backends::engine, ports.timer(),
				settings.generationLimits(), this.metrics, this.demand);
		PlainContext plain = new PlainContext(this.backends::plain, (system) -> router(system, legacy), this.workers,
				ports.timer(), settings.callTimeout, this.metrics);
		this.claimStore = ClaimStore.create(this.writer, ports.timer(), new ClaimPolicy(settings.claimTimeout,
				ClaimPolicy.DEFAULT.epochPeriod(), ClaimPolicy.DEFAULT.retainedEpochs()));
		this.claims = new ClaimRunner(this.claimStore, plain, settings.claimWait);
		GenerationHandler generations = new GenerationHandler(
				new GenerationParser(settings.defaultMaxTokens, settings.maxTokens, ports.timer()),
				new EventIdCodec(settings.eventIdKeys()), (system) -> router(system, legacy), generation, this.relays,
				settings.apiLimits());
		this.root = new ApiRoot(this.revisions::index, generations, new PlainHandler(plain, this.claims),
				settings.apiLimits(), this.metrics);
		this.stops = new StopFollower(PlannedStopStore.create(this.writer, ports.timer()), this.tracker,
				HostId.of(settings.hostId), DataCentre.of(settings.dataCentre), this.root::openRequests);
	}

	private AttemptRouter router(ServingSystem system, LegacyRouter legacy) {
		return (system == ServingSystem.NEW) ? this.gate : legacy;
	}

	private static ExecutorService pool(String name, int threads) {
		AtomicInteger count = new AtomicInteger();
		ThreadPoolExecutor pool = new ThreadPoolExecutor(threads, threads, 30, TimeUnit.SECONDS,
				new LinkedBlockingQueue<>(threads * QUEUED_PER_WORKER), (task) -> {
					Thread thread = new Thread(task, name + "-" + count.incrementAndGet());
					thread.setDaemon(true);
					return thread;
				});
		pool.allowCoreThreadTimeOut(true);
		return pool;
	}

	/**
	 * Starts the daemon.
	 * @throws IllegalStateException if an address cannot be listened on
	 */
	void start() {
		this.gate.start();
		this.ports.peers().map((factory) -> factory.create(this.tracker::entryAddresses)).ifPresent(this::join);
		this.admin = new AdminPages(this).start(this.settings.address, this.settings.adminPort, this.registry);
		this.api = ApiServer.start(this.settings.address, this.settings.apiPort, this.settings.ioThreads,
				this.settings.apiLimits(), this.root);
		startControl();
	}

	private void join(PeerNode node) {
		this.peers = new PeerExchange(node, this.gate, this.revisions, this.ports.timer());
		this.peers.start();
		if (node instanceof ThriftPeerNode thrift) {
			this.metrics.peers(thrift);
		}
		this.tasks.add("usage", this.settings.usagePeriod, this.peers::publish);
	}

	private void startControl() {
		LoadPoller poller = new LoadPoller(this.backends, this.tracker, this.control, this.settings.reportPeriod,
				this.settings.reportsPerSecond);
		ConfigurationStore configuration = ConfigurationStore.create(this.writer, this.ports.objects(),
				this.ports.timer(), (document) -> RevisionParser.parse(document).findings());
		ConfigurationFollower follower = new ConfigurationFollower(configuration, this.revisions, this::spread);
		DemandPublisher publisher = new DemandPublisher(this.ports.table(), HostId.of(this.settings.hostId),
				this.demand, this.settings.demandPeriod);
		this.tasks.add("hosts", this.settings.hostListPeriod,
				() -> this.ports.hosts().read().ifPresent(this.tracker::onHostList));
		this.tasks.add("loads", POLL_TICK, () -> poller.tick(this.ports.timer().nanoTime()));
		this.tasks.add("stops", this.settings.stopPeriod, this.stops::follow);
		this.tasks.add("claims", CLAIM_COLLECTION, this.claimStore::collectExpired);
		this.tasks.add("configuration", this.settings.headPeriod, follower::follow);
		this.tasks.add("demand", this.settings.demandPeriod, publisher::publish);
	}

	private void spread(RevisionDocument document) {
		if (this.peers != null) {
			this.peers.peers().offerRevision(document);
		}
	}

	/**
	 * Returns the processes that are believed to be alive.
	 * @return the members, empty when alone, never null
	 */
	List<Member> members() {
		return (this.peers != null) ? this.peers.peers().members() : List.of();
	}

	/**
	 * Stops the daemon gracefully. Blocks until it has stopped.
	 * @return whether all requests had ended within the drain timeout
	 */
	boolean stop() {
		return new GracefulShutdown(this, this.settings).run();
	}

	void setNotReady() {
		this.isAccepting = false;
	}

	/** Closes servers and threads; what still runs is cut off. */
	void close() {
		this.tasks.close();
		if (this.peers != null) {
			this.peers.close();
		}
		this.relays.close();
		this.gate.close();
		if (this.api != null) {
			this.api.close();
		}
		if (this.admin != null) {
			this.admin.stop(Duration.ZERO);
		}
		this.workers.shutdownNow();
		this.control.shutdownNow();
	}

	boolean isReady() {
		return this.isAccepting && !this.stops.isStopping() && this.revisions.number() > 0 && this.tracker.isReady();
	}

	URI apiUri() {
		return this.api.uri();
	}

	URI adminUri() {
		return this.admin.uri();
	}

	ApiRoot root() {
		return this.root;
	}

	LiveRelays relays() {
		return this.relays;
	}

	ClaimRunner claims() {
		return this.claims;
	}

	TrafficGate gate() {
		return this.gate;
	}

	RevisionHolder revisions() {
		return this.revisions;
	}

	Backends backends() {
		return this.backends;
	}

	/**
	 * Returns the state for the dump.
	 * @return a tree of maps, lists and scalars, never null
	 */
	Map<String, Object> dump() {
		return new StateReport(this, this.settings).toTree();
	}

}
