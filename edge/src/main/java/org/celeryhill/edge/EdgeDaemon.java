package org.celeryhill.edge;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
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
import org.celeryhill.forward.ServerEntry;
import org.celeryhill.platform.JsonHttpClient;
import org.celeryhill.platform.PlatformEngineClient;
import org.celeryhill.platform.PlatformHeaderCodec;
import org.celeryhill.platform.ServerEntryCodec;
import org.celeryhill.platform.StoreClient;
import org.celeryhill.platform.StoreTableService;
import org.celeryhill.state.ConditionalWriter;
import org.celeryhill.state.LeaseStore;
import org.celeryhill.state.RetryPolicy;
import org.celeryhill.traffic.DefaultTrafficController;
import org.celeryhill.traffic.TrafficController;
import org.celeryhill.traffic.TrafficTunables;

/**
 * One edge daemon. Its data path runs on one event loop; {@link #start()} and
 * {@link #stop} may be called from any thread.
 */
final class EdgeDaemon {

	private static final EventLog LOG = EventLog.of(EdgeDaemon.class);

	private static final long HOUSEKEEPING_MS = 500;

	private static final long CONTROL_MS = 50;

	/** Duration of the lease as a part of the time between commands of two holders. */
	private static final long LEASE_PERCENT = 50;

	/** Time after SIGTERM in which the balancer notices that this host is not ready. */
	private static final Duration BALANCER_DELAY = Duration.ofMillis(2800);

	/** Part of the grace period that is left for the end of the process. */
	private static final Duration EXIT_RESERVE = Duration.ofMillis(900);

	private static final int SUBSET_SIZE = 24;

	private static final int QUEUE_LIMIT = 4000;

	/** A hedge is a second send, and the budget for those is needed for failures. */
	private static final double NO_HEDGES = 0;

	private static final Duration PEER_AGE = Duration.ofSeconds(5);

	private static final Duration SUSPICION = Duration.ofSeconds(1);

	private static final Duration SLOW_START = Duration.ofSeconds(2);

	private static final Duration ADAPTER_LOAD = Duration.ofMillis(30);

	private static final int DECISION_LOG_SIZE = 1024;

	/**
	 * Longest queue in an engine; the shortest target of a first event is half a second.
	 */
	private static final Duration FIRST_TOKEN_WAIT = Duration.ofMillis(350);

	/** Of the second sends that are allowed, the part that this host takes. */
	private static final double RETRY_SHARE = 0.5;

	private final EdgeSettings settings;

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private final BackendClient client;

	private final Forwarder forwarder;

	private final IngressServer front;

	private final IngressServer ready;

	private final IngressServer operations;

	private final StoreClient store;

	private final EdgeMetrics metrics = new EdgeMetrics();

	private final TrafficController traffic;

	private final ConfigurationHolder configuration;

	private final Leadership leadership;

	private final PlacementLoop placement;

	private final StoreFollower follower;

	private final PeerService peers;

	private final IngressServer peerServer;

	private boolean isStopping;

	private long stopNanos;

	private EdgeDaemon(EdgeSettings settings) {
		this.settings = settings;
		this.client = BackendClient.create(this.loop);
		this.traffic = DefaultTrafficController.create(HostId.of(settings.hostId), DataCentre.of(settings.dataCentre),
				UUID.randomUUID().toString().substring(0, 8), settings.hostId.hashCode(),
				tunables(settings.retryRatio));
		this.forwarder = Forwarder.create(this.loop, this.client, new PlatformHeaderCodec(), this.traffic, this.metrics);
		this.front = IngressServer.create(this.loop, this.forwarder);
		OperationalHandler readiness = new OperationalHandler(this::isReady, Map.of());
		OperationalHandler pages = new OperationalHandler(this::isReady,
				Map.of("/metrics", this.metrics::toText, "/state", this::dump));
		this.ready = IngressServer.create(this.loop, readiness);
		this.operations = IngressServer.create(this.loop, pages);
		JsonHttpClient calls = JsonHttpClient.create(this.loop, this.client);
		StoreRelay relay = new StoreRelay(this.loop, calls, settings.storeAddress());
		this.store = StoreClient.create(relay, settings.storeAddress());
		this.configuration = new ConfigurationHolder(this.forwarder);
		DemandMeter demand = new DemandMeter();
		this.forwarder.setDemandListener(demand);
		this.leadership = new Leadership(this.loop, leases(), this.metrics, leaseDuration(),
				Duration.ofMillis(settings.leaseMillis));
		this.placement = new PlacementLoop(this.loop, this.forwarder, PlatformEngineClient.create(calls), this.leadership,
				this.metrics, settings, this::totalDemand);
		this.follower = StoreFollower.create(this.store, this.loop, this.configuration, this.forwarder.directory());
		this.peers = new PeerService(this.loop, calls, this.forwarder, this.leadership, this.placement, demand,
				this.configuration, this.follower, relay, settings);
		relay.setHosts(this.peers::storeCaller);
		this.forwarder.setAdapterLoader(this.peers);
		this.forwarder.setPlacementForecast(this.peers);
		this.peerServer = IngressServer.create(this.loop, this.peers);
	}

	static TrafficTunables tunables(double retryRatio) {
		return new TrafficTunables(SUBSET_SIZE, QUEUE_LIMIT, NO_HEDGES, retryRatio * RETRY_SHARE, PEER_AGE, SUSPICION,
				SLOW_START, ADAPTER_LOAD, FIRST_TOKEN_WAIT, DECISION_LOG_SIZE);
	}

	static EdgeDaemon create(EdgeSettings settings) {
		return new EdgeDaemon(settings);
	}

	private Map<DemandMeter.Key, DemandMeter.Rate> totalDemand() {
		return this.peers.totalDemand();
	}

	private Duration leaseDuration() {
		return Duration.ofMillis(this.settings.leaseMillis * LEASE_PERCENT / 100);
	}

	private LeaseStore leases() {
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
		this.operations.listen(this.settings.metricsAddress()).sync();
		this.loop.scheduleAtFixedRate(this::housekeep, HOUSEKEEPING_MS, HOUSEKEEPING_MS, TimeUnit.MILLISECONDS);
		this.loop.scheduleAtFixedRate(this::control, 0, CONTROL_MS, TimeUnit.MILLISECONDS);
		LOG.info("edge_started", "host", this.settings.hostId);
	}

	private void control() {
		this.leadership.tick();
		this.follower.tick(this.leadership.isHolder());
		this.placement.tick();
		this.peers.tick();
	}

	private boolean isReady() {
		return !this.isStopping && this.forwarder.table().isPresent();
	}

	private void housekeep() {
		Set<BackendClient.PoolKey> used = new HashSet<>();
		used.add(new BackendClient.PoolKey(this.settings.storeAddress(), StoreClient.CONNECTION_OWNER));
		for (ServerEntry entry : this.forwarder.directory().entries()) {
			used.add(new BackendClient.PoolKey(entry.address(), entry.incarnationId()));
		}
		this.client.closeIdleConnections((key) -> key.owner().equals("peer") || used.contains(key));
		this.front.closeExpiredConnections();
		this.ready.closeExpiredConnections();
		this.operations.closeExpiredConnections();
		this.peerServer.closeExpiredConnections();
	}

	private byte[] dump() {
		return String.valueOf(this.traffic.dump()).getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Stops gracefully: the balancer is told first, then running requests end.
	 * @param done called when the process may exit
	 */
	void stop(Runnable done) {
		this.loop.execute(() -> {
			if (this.isStopping) {
				return;
			}
			this.isStopping = true;
			this.stopNanos = System.nanoTime();
			LOG.info("edge_stopping", "host", this.settings.hostId, "active", this.forwarder.activeCount());
			this.front.startDraining();
			this.leadership.stop();
			this.loop.scheduleAtFixedRate(() -> stopWhenIdle(done), HOUSEKEEPING_MS / 10, HOUSEKEEPING_MS / 10,
					TimeUnit.MILLISECONDS);
		});
	}

	private void stopWhenIdle(Runnable done) {
		long elapsed = System.nanoTime() - this.stopNanos;
		boolean isNoticed = elapsed > BALANCER_DELAY.toNanos();
		boolean isOver = elapsed > this.settings.grace().minus(EXIT_RESERVE).toNanos();
		if (isNoticed) {
			// A request that came later could not be finished within the grace period.
			this.front.closeIdleConnections();
		}
		if (!isOver && (!isNoticed || this.forwarder.activeCount() > 0)) {
			return;
		}
		LOG.info("edge_stopped", "host", this.settings.hostId, "abandoned", this.forwarder.activeCount());
		this.forwarder.abortAll();
		this.loop.schedule(done, HOUSEKEEPING_MS / 10, TimeUnit.MILLISECONDS);
	}

	// Ends at once, without regard to running requests.
	void close() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

}
