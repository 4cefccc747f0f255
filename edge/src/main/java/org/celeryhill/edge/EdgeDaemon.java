package org.celeryhill.edge;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.celeryhill.base.AttemptId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.HostId;
import org.celeryhill.base.SystemTimerService;
import org.celeryhill.base.TimerService;
import org.celeryhill.forward.BackendClient;
import org.celeryhill.forward.Forwarder;
import org.celeryhill.forward.IngressServer;
import org.celeryhill.forward.PeriodicTask;
import org.celeryhill.forward.ServerEntry;
import org.celeryhill.platform.JsonHttpClient;
import org.celeryhill.platform.PlatformEngineClient;
import org.celeryhill.platform.PlatformHeaderCodec;
import org.celeryhill.platform.ServerEntryCodec;
import org.celeryhill.platform.StoreClient;
import org.celeryhill.platform.StoreTableService;
import org.celeryhill.platform.StoreVersions;
import org.celeryhill.state.ConditionalWriter;
import org.celeryhill.state.LeaseStore;
import org.celeryhill.state.RetryPolicy;
import org.celeryhill.traffic.DefaultTrafficController;
import org.celeryhill.traffic.PaceScope;
import org.celeryhill.traffic.TrafficController;
import org.celeryhill.traffic.TrafficTunables;

/**
 * Edge daemon of one host: wires its parts together, starts them and stops them. All
 * requests are processed on one event loop; {@link #start()} and {@link #stop} may be
 * called from any thread.
 */
final class EdgeDaemon {

	private static final EventLog LOG = EventLog.of(EdgeDaemon.class);

	private static final long HOUSEKEEPING_PERIOD_MS = 500;

	private static final long CONTROL_PERIOD_MS = 50;

	/**
	 * Duration of the lease in percent of the minimum time between the commands of two
	 * holders.
	 */
	private static final long LEASE_DURATION_PERCENT = 50;

	/**
	 * Time after SIGTERM within which the load balancer detects that this host is no
	 * longer ready.
	 */
	private static final Duration BALANCER_DELAY = Duration.ofMillis(2800);

	/** Part of the grace period that is reserved for the exit of the process. */
	private static final Duration EXIT_RESERVE = Duration.ofMillis(900);

	private static final int SUBSET_SIZE = 24;

	private static final int QUEUE_LIMIT = 4000;

	/** No hedging: hedges use the retry budget, which is needed for failures. */
	private static final double HEDGE_FRACTION = 0;

	private static final Duration MAX_PEER_AGE = Duration.ofSeconds(5);

	private static final Duration SUSPICION_TIME = Duration.ofSeconds(1);

	private static final Duration SLOW_START_TIME = Duration.ofSeconds(2);

	private static final Duration ADAPTER_LOAD_TIME = Duration.ofMillis(30);

	private static final int DECISION_LOG_SIZE = 1024;

	/**
	 * Longest queueing time in an engine. It stays below half a second, the shortest
	 * target for the first event of a stream.
	 */
	private static final Duration MAX_FIRST_TOKEN_WAIT = Duration.ofMillis(350);

	/** Part of the retry ratio that this host uses. */
	private static final double LOCAL_RETRY_SHARE = 0.5;

	private final EdgeSettings settings;

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private final BackendClient client;

	private final Forwarder forwarder;

	private final IngressServer front;

	private final IngressServer ready;

	private final IngressServer operationsServer;

	private final StoreClient store;

	private final EdgeMetrics metrics = new EdgeMetrics();

	private final TrafficController trafficController;

	private final ConfigurationHolder configuration;

	private final Leadership leadership;

	private final PlacementLoop placementLoop;

	private final StoreFollower storeFollower;

	private final PeerService peerService;

	private final IngressServer peerServer;

	/** The entries that the pools in use were found from. */
	private List<ServerEntry> pooledEntries = List.of();

	private Set<BackendClient.PoolKey> usedPools = Set.of();

	private boolean isStopping;

	private long stopStartNanos;

	private EdgeDaemon(EdgeSettings settings) {
		this.settings = settings;
		this.client = BackendClient.create(this.loop);
		this.trafficController = DefaultTrafficController.create(HostId.of(settings.hostId),
				DataCentre.of(settings.dataCentre), UUID.randomUUID().toString().substring(0, 8),
				settings.hostId.hashCode(), trafficTunables(settings.retryRatio, settings.retrySlack),
				new AvailabilityLog());
		this.forwarder = Forwarder.create(this.loop, this.client, new PlatformHeaderCodec(), this.trafficController,
				this.metrics);
		this.front = IngressServer.create(this.loop, this.forwarder);
		OperationalHandler readinessHandler = new OperationalHandler(this::isReady, Map.of());
		OperationalHandler operationsHandler = new OperationalHandler(this::isReady,
				Map.of("/metrics", this.metrics::toText, "/state", this::dumpState));
		this.ready = IngressServer.create(this.loop, readinessHandler);
		this.operationsServer = IngressServer.create(this.loop, operationsHandler);
		JsonHttpClient calls = JsonHttpClient.create(this.loop, this.client);
		StoreVersions storeVersions = new StoreVersions();
		StoreRelay storeRelay = new StoreRelay(this.loop, calls, settings.storeAddress(), storeVersions);
		this.store = StoreClient.create(storeRelay, settings.storeAddress(), storeVersions);
		this.configuration = new ConfigurationHolder(this.forwarder);
		DemandMeter demandMeter = new DemandMeter();
		this.forwarder.setDemandListener(demandMeter);
		this.leadership = new Leadership(this.loop, createLeaseStore(), this.metrics, leaseDuration(),
				Duration.ofMillis(settings.leaseMillis));
		this.placementLoop = new PlacementLoop(this.loop, this.forwarder,
				PlatformEngineClient.create(calls, this.forwarder::recordLeaving), this.leadership, this.metrics,
				settings, this::totalDemand);
		this.storeFollower = StoreFollower.create(this.store, this.loop, this.configuration,
				this.forwarder.directory());
		this.peerService = new PeerService(this.loop, calls, this.forwarder, this.leadership, this.placementLoop,
				demandMeter, this.configuration, this.storeFollower, storeRelay, this.metrics, settings);
		this.forwarder.setConfigurationCurrency(
				() -> this.storeFollower.isOperatorTableCurrent() && !this.configuration.isBehind());
		storeRelay.setRelayHosts(this.peerService::nextRelayHost);
		this.forwarder.setAdapterLoader(this.peerService);
		this.forwarder.setPlacementForecast(this.peerService);
		this.peerServer = IngressServer.create(this.loop, this.peerService);
	}

	static TrafficTunables trafficTunables(double retryRatio, double retrySlack) {
		return new TrafficTunables(SUBSET_SIZE, QUEUE_LIMIT, HEDGE_FRACTION, retryRatio * LOCAL_RETRY_SHARE, retrySlack,
				MAX_PEER_AGE, SUSPICION_TIME, SLOW_START_TIME, ADAPTER_LOAD_TIME, MAX_FIRST_TOKEN_WAIT,
				DECISION_LOG_SIZE, true, PaceScope.PLAIN_SERVERS);
	}

	static EdgeDaemon create(EdgeSettings settings) {
		return new EdgeDaemon(settings);
	}

	private Map<DemandMeter.Key, DemandMeter.Rate> totalDemand() {
		return this.peerService.totalDemand();
	}

	private Duration leaseDuration() {
		return Duration.ofMillis(this.settings.leaseMillis * LEASE_DURATION_PERCENT / 100);
	}

	private LeaseStore createLeaseStore() {
		TimerService timer = SystemTimerService.create();
		String prefix = this.settings.hostId + "-" + UUID.randomUUID();
		AtomicLong count = new AtomicLong();
		ConditionalWriter writer = ConditionalWriter.create(StoreTableService.create(this.store),
				() -> AttemptId.of(prefix + "-" + count.incrementAndGet()), RetryPolicy.immediate());
		return LeaseStore.createForSoleProcess(writer, timer, HostId.of(this.settings.peer), leaseDuration());
	}

	void start() throws InterruptedException {
		LOG.info("edge_starting", "host", this.settings.hostId, "data_centre", this.settings.dataCentre, "front",
				this.settings.front, "store", this.settings.store);
		this.front.listen(this.settings.frontAddress()).sync();
		this.ready.listen(this.settings.readyAddress()).sync();
		this.peerServer.listen(ServerEntryCodec.address(this.settings.peer)).sync();
		this.operationsServer.listen(this.settings.metricsAddress()).sync();
		PeriodicTask.start(this.loop, "close_connections", HOUSEKEEPING_PERIOD_MS, this::closeUnusedConnections);
		this.loop.execute(this::runControl);
		PeriodicTask.start(this.loop, "control", CONTROL_PERIOD_MS, this::runControl);
		LOG.info("edge_started", "host", this.settings.hostId);
	}

	private void runControl() {
		this.leadership.tick();
		this.storeFollower.tick(this.leadership.isHolder());
		this.placementLoop.tick();
		this.peerService.tick();
	}

	private boolean isReady() {
		return !this.isStopping && this.forwarder.table().isPresent() && this.storeFollower.areServersKnown();
	}

	private void closeUnusedConnections() {
		Set<BackendClient.PoolKey> usedPools = findUsedPools(this.forwarder.directory().entries());
		InetSocketAddress storeAddress = this.settings.storeAddress();
		this.client.closeIdleConnections(
				(key) -> key.owner().equals("peer") || key.address().equals(storeAddress) || usedPools.contains(key));
		this.front.closeExpiredConnections();
		this.ready.closeExpiredConnections();
		this.operationsServer.closeExpiredConnections();
		this.peerServer.closeExpiredConnections();
	}

	private Set<BackendClient.PoolKey> findUsedPools(List<ServerEntry> entries) {
		if (entries == this.pooledEntries) {
			return this.usedPools;
		}
		Set<BackendClient.PoolKey> pools = new HashSet<>();
		for (ServerEntry entry : entries) {
			pools.add(new BackendClient.PoolKey(entry.address(), entry.incarnationId()));
			pools.add(new BackendClient.PoolKey(entry.address(), PlatformEngineClient.connectionOwner(entry)));
		}
		this.pooledEntries = entries;
		this.usedPools = pools;
		return pools;
	}

	private byte[] dumpState() {
		Map<String, Object> tree = new LinkedHashMap<>(this.trafficController.dump());
		this.forwarder.table().ifPresent((table) -> tree.put("organisations", OrganisationDump.toTree(table)));
		String text = tree + "\n" + this.peerService.dumpQuotas();
		return text.getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Stops gracefully: reports this host as not ready to the load balancer, then waits
	 * for running requests within the grace period. Does nothing if a stop has begun.
	 * @param onStopped called on the event loop when the process may exit, not null
	 */
	void stop(Runnable onStopped) {
		this.loop.execute(() -> {
			if (this.isStopping) {
				return;
			}
			this.isStopping = true;
			this.stopStartNanos = System.nanoTime();
			LOG.info("edge_stopping", "host", this.settings.hostId, "active", this.forwarder.activeCount());
			this.front.startDraining();
			this.forwarder.startStopping(this.stopStartNanos + timeUntilAbort().toNanos());
			this.leadership.stop();
			PeriodicTask.start(this.loop, "stop", HOUSEKEEPING_PERIOD_MS / 10, () -> stopWhenIdle(onStopped));
		});
	}

	private Duration timeUntilAbort() {
		return this.settings.grace().minus(EXIT_RESERVE);
	}

	private void stopWhenIdle(Runnable onStopped) {
		long elapsed = System.nanoTime() - this.stopStartNanos;
		boolean isBalancerDelayOver = elapsed > BALANCER_DELAY.toNanos();
		boolean isGraceOver = elapsed > timeUntilAbort().toNanos();
		if (isBalancerDelayOver || isGraceOver) {
			// A request that arrives later may not complete within the grace period.
			this.forwarder.stopAccepting();
			this.front.closeIdleConnections();
		}
		boolean isActive = this.forwarder.activeCount() > 0 || this.front.isWritingResponses();
		if (!isGraceOver && (!isBalancerDelayOver || isActive)) {
			return;
		}
		LOG.info("edge_stopped", "host", this.settings.hostId, "abandoned", this.forwarder.activeCount());
		this.forwarder.abortAll();
		this.loop.schedule(() -> endConnections(onStopped), HOUSEKEEPING_PERIOD_MS / 10, TimeUnit.MILLISECONDS);
	}

	// The system would end the connections regularly when the process exits.
	private void endConnections(Runnable onStopped) {
		this.front.close();
		onStopped.run();
	}

	// Shuts down at once; running requests are dropped.
	void close() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

}
