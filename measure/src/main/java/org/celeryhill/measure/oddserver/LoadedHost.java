package org.celeryhill.measure.oddserver;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.HostId;
import org.celeryhill.base.ServiceId;
import org.celeryhill.forward.BackendClient;
import org.celeryhill.forward.ForwardMetrics;
import org.celeryhill.forward.Forwarder;
import org.celeryhill.forward.IngressLimits;
import org.celeryhill.forward.IngressServer;
import org.celeryhill.forward.Route;
import org.celeryhill.forward.RoutingTable;
import org.celeryhill.forward.ServerEntry;
import org.celeryhill.forward.ServiceProfile;
import org.celeryhill.traffic.AvailabilityListener;
import org.celeryhill.traffic.DefaultTrafficController;
import org.celeryhill.traffic.TrafficTunables;

/**
 * The data path of one entry host on the loopback interface, with the parameters of the
 * edge daemon and without its control.
 */
final class LoadedHost implements AutoCloseable {

	static final String HOST_NAME = "profile.example";

	private static final ServiceId SERVICE = ServiceId.of("plain");

	private static final DataCentre DATA_CENTRE = DataCentre.of("here");

	private static final Duration ROUTE_TIMEOUT = Duration.ofSeconds(5);

	private static final Duration TARGET_LATENCY = Duration.ofMillis(500);

	private static final Duration TARGET_EVENT_GAP = Duration.ofMillis(250);

	private static final double RETRY_FRACTION = 0.1;

	private static final long HOUSEKEEPING_PERIOD_MS = 500;

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private final BackendClient client;

	private final Forwarder forwarder;

	private final IngressServer front;

	private final Set<BackendClient.PoolKey> pools = new HashSet<>();

	private InetSocketAddress address;

	private LoadedHost(LoadProfile profile, WireFormat format, AvailabilityListener availability) {
		this.client = BackendClient.create(this.loop);
		DefaultTrafficController traffic = DefaultTrafficController.create(HostId.of("h1"), DATA_CENTRE, "1",
				profile.seed(), tunables(profile), availability);
		this.forwarder = Forwarder.create(this.loop, this.client, format.codec(), traffic, new NoOpMetrics());
		this.front = IngressServer.create(this.loop, this.forwarder);
	}

	/**
	 * Starts a host that knows the given servers.
	 * @param profile the settings of the run
	 * @param format the headers of requests and responses
	 * @param servers the addresses of the servers
	 * @param availability receives which servers the host leaves out
	 * @return the host
	 */
	static LoadedHost start(LoadProfile profile, WireFormat format, List<InetSocketAddress> servers,
			AvailabilityListener availability) {
		LoadedHost host = new LoadedHost(profile, format, availability);
		host.runOnLoop(() -> host.configure(profile, servers));
		host.address = (InetSocketAddress) host.front.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
			.syncUninterruptibly()
			.channel()
			.localAddress();
		host.loop.scheduleAtFixedRate(host::closeIdleConnections, HOUSEKEEPING_PERIOD_MS, HOUSEKEEPING_PERIOD_MS,
				TimeUnit.MILLISECONDS);
		return host;
	}

	private static TrafficTunables tunables(LoadProfile profile) {
		TrafficTunables defaults = TrafficTunables.DEFAULTS;
		return new TrafficTunables(defaults.subsetSize(), defaults.queueLimit(), 0, RETRY_FRACTION, 0,
				defaults.maxPeerAge(), profile.suspicionTime(), profile.slowStartTime(), defaults.adapterLoadTime(),
				Duration.ZERO, defaults.decisionLogSize(), defaults.sharesByNeed(), defaults.paceScope());
	}

	private void configure(LoadProfile profile, List<InetSocketAddress> servers) {
		List<Route> routes = Arrays.stream(RouteKind.values()).map(LoadedHost::route).toList();
		ServiceProfile service = new ServiceProfile(SERVICE, profile.slots(), Optional.empty());
		this.forwarder.apply(RoutingTable.of(1, routes, List.of(service), IngressLimits.DEFAULTS));
		for (int i = 0; i < servers.size(); i++) {
			ServerEntry entry = new ServerEntry(BackendServerId.of("s" + i), 1, SERVICE, servers.get(i), DATA_CENTRE,
					profile.slots(), false, List.of(), Set.of(), Set.of(), 1);
			this.pools.add(new BackendClient.PoolKey(entry.address(), entry.incarnationId()));
			this.forwarder.directory().put(entry, 1);
		}
	}

	private static Route route(RouteKind kind) {
		return new Route(kind.prefix, HOST_NAME, kind.prefix, kind.kind, ROUTE_TIMEOUT, TARGET_LATENCY, 0,
				List.of(new Route.Destination(SERVICE, 1)), kind.maxRuns, false, TARGET_EVENT_GAP);
	}

	private void closeIdleConnections() {
		this.client.closeIdleConnections(this.pools::contains);
		this.front.closeExpiredConnections();
	}

	InetSocketAddress address() {
		return this.address;
	}

	private void runOnLoop(Runnable task) {
		this.loop.submit(task).syncUninterruptibly();
	}

	@Override
	public void close() {
		runOnLoop(this.front::close);
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	/**
	 * The events of the log say more, so that metrics are not used.
	 */
	private static final class NoOpMetrics implements ForwardMetrics {

		@Override
		public void refused(String reason) {
			// Counted by the events.
		}

		@Override
		public void recordSend(boolean isFirst) {
			// Counted by the events.
		}

		@Override
		public void recordChoice(DataCentre dataCentre) {
			// Not measured.
		}

		@Override
		public void recordPace(double factor) {
			// Not measured.
		}

		@Override
		public void recordEnd(int status, double seconds) {
			// Counted by the events.
		}

		@Override
		public void recordFirstEvent(double seconds) {
			// Not measured.
		}

		@Override
		public void recordServerCrash() {
			// No server of the profile ends.
		}

		@Override
		public void setQuarantinedParts(int count) {
			// The requests have no prompts.
		}

	}

}
