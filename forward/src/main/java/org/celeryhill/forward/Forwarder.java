package org.celeryhill.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.RequestId;
import org.celeryhill.base.ServiceId;
import org.celeryhill.base.UsageTotals;
import org.celeryhill.port.Engine;
import org.celeryhill.traffic.TrafficAction;
import org.celeryhill.traffic.TrafficController;

/**
 * Forwards requests of callers to backend servers under the configuration in force. Holds
 * the table of running requests and feeds the traffic controller. Must be used on the
 * event loop, but for the constructor methods.
 */
public final class Forwarder implements RequestHandler {

	private static final EventLog LOG = EventLog.of(Forwarder.class);

	/** Time between two looks at queued requests when nothing else happens. */
	private static final long DISPATCH_PERIOD_MS = 20;

	private static final Duration NOT_READY_RETRY = Duration.ofMillis(300);

	private final Map<RequestId, ForwardCall> calls = new HashMap<>();

	private final EventLoop loop;

	private final BackendClient client;

	private final HeaderCodec dialect;

	private final TrafficController traffic;

	private final ServerDirectory directory;

	private final ForwardMetrics metrics;

	private AdapterLoader adapters;

	private DemandListener demand = DemandListener.NONE;

	private PlacementForecast forecast = PlacementForecast.NONE;

	private RoutingTable table;

	private boolean isDispatchScheduled;

	private long requestCount;

	private Forwarder(EventLoop loop, BackendClient client, HeaderCodec dialect, TrafficController traffic,
			ForwardMetrics metrics) {
		this.loop = loop;
		this.client = client;
		this.dialect = dialect;
		this.traffic = traffic;
		this.metrics = metrics;
		this.directory = ServerDirectory.create(this::engineProfile, (view) -> {
			traffic.updateBackend(view, System.nanoTime());
			scheduleDispatch();
		}, traffic::removeBackend);
		this.adapters = AdapterLoader.NONE;
	}

	/**
	 * Creates a forwarder that knows no configuration.
	 * @param loop the event loop that runs it, not null
	 * @param client sends requests to backend servers, not null
	 * @param dialect names and formats of the headers, not null
	 * @param traffic decides on admission and routing, not null
	 * @param metrics counts what happens, not null
	 * @return the forwarder, never null
	 */
	public static Forwarder create(EventLoop loop, BackendClient client, HeaderCodec dialect,
			TrafficController traffic, ForwardMetrics metrics) {
		Objects.requireNonNull(dialect, "dialect");
		Forwarder forwarder = new Forwarder(loop, client, dialect, traffic, metrics);
		loop.scheduleAtFixedRate(forwarder::dispatchWaiting, DISPATCH_PERIOD_MS, DISPATCH_PERIOD_MS,
				TimeUnit.MILLISECONDS);
		return forwarder;
	}

	/**
	 * Sets who loads adapters. Without it each adapter counts as loaded.
	 * @param loader the loader, not null
	 */
	public void setAdapterLoader(AdapterLoader loader) {
		this.adapters = loader;
	}

	/**
	 * Sets who is told of the demand for models.
	 * @param listener the listener, not null
	 */
	public void setDemandListener(DemandListener listener) {
		this.demand = listener;
	}

	/**
	 * Sets who knows of models that are being loaded.
	 * @param source the source, not null
	 */
	public void setPlacementForecast(PlacementForecast source) {
		this.forecast = source;
	}

	/**
	 * Puts a configuration in force. A version that is not higher than the one in force
	 * is ignored.
	 * @param next the configuration, not null
	 * @return whether it is in force now
	 */
	public boolean apply(RoutingTable next) {
		if (this.table != null && next.version() <= this.table.version()) {
			return false;
		}
		LOG.info("configuration_applied", "version", next.version(), "previous",
				(this.table != null) ? this.table.version() : 0, "routes", next.routes().size());
		this.table = next;
		this.traffic.apply(RevisionMapping.toRevision(next), System.nanoTime());
		this.directory.republish();
		scheduleDispatch();
		return true;
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, empty if none is known
	 */
	public Optional<RoutingTable> table() {
		return Optional.ofNullable(this.table);
	}

	/**
	 * Returns what is known of the backend servers.
	 * @return the directory, never null
	 */
	public ServerDirectory directory() {
		return this.directory;
	}

	/**
	 * Returns the usage to tell other hosts.
	 * @return the totals, never null
	 */
	public UsageTotals usageTotals() {
		return this.traffic.nextUsageTotals(System.nanoTime());
	}

	/**
	 * Takes the usage of another host.
	 * @param totals the totals, not null
	 */
	public void observePeer(UsageTotals totals) {
		this.traffic.recordPeerUsage(totals, System.nanoTime());
	}

	/**
	 * Returns the number of requests that run or wait.
	 * @return the number
	 */
	public int activeCount() {
		return this.calls.size();
	}

	/**
	 * Ends all requests: those that did not run with a refusal, the others as failed.
	 */
	public void abortAll() {
		for (ForwardCall call : new ArrayList<>(this.calls.values())) {
			call.expire();
		}
	}

	@Override
	public IngressLimits limits() {
		return (this.table != null) ? this.table.limits() : IngressLimits.DEFAULTS;
	}

	@Override
	public ActiveRequest handle(IncomingRequest request, ResponseChannel channel) {
		RequestMetadata caller = this.dialect.decodeRequest(request.headers());
		String id = caller.id().orElse("none");
		if (this.table == null) {
			return refuse(request, channel, id, HttpResponseStatus.SERVICE_UNAVAILABLE, "no_configuration");
		}
		if (caller.id().isEmpty()) {
			return refuse(request, channel, id, HttpResponseStatus.BAD_REQUEST, "no_request_id");
		}
		String host = request.headers().get(HttpHeaderNames.HOST, "");
		Optional<Route> route = this.table.findRoute(host, request.target());
		if (route.isEmpty()) {
			return refuse(request, channel, id, HttpResponseStatus.NOT_FOUND, "no_route");
		}
		RequestId key = RequestId.of(id + "." + this.requestCount++);
		ForwardCall call = new ForwardCall(this, key, request, caller, route.get(), channel);
		this.calls.put(key, call);
		call.offer();
		return call;
	}

	private ActiveRequest refuse(IncomingRequest request, ResponseChannel channel, String id, HttpResponseStatus status,
			String reason) {
		request.body().release();
		this.metrics.refused(reason);
		LOG.info("request_refused", "request", id, "status", status.code(), "reason", reason, "target",
				request.target(), "version", (this.table != null) ? this.table.version() : 0);
		HttpHeaders headers = new DefaultHttpHeaders();
		if (status == HttpResponseStatus.SERVICE_UNAVAILABLE) {
			this.dialect.encodeRetryAfter(headers, NOT_READY_RETRY);
		}
		channel.respond(status, headers, Unpooled.EMPTY_BUFFER);
		return ActiveRequest.NONE;
	}

	void ended(ForwardCall call) {
		this.calls.remove(call.key());
	}

	void learnPrefix(BackendServerId engine, ModelId model, List<Long> blocks) {
		List<Engine.CacheEvent> events = new ArrayList<>(blocks.size());
		for (long block : blocks) {
			events.add(new Engine.CacheEvent(0, model, block, 0, true));
		}
		this.traffic.recordCacheEvents(engine, events);
	}

	private Optional<EngineProfile> engineProfile(ServiceId service) {
		if (this.table == null) {
			return Optional.empty();
		}
		return this.table.service(service).flatMap(ServiceProfile::engine);
	}

	void scheduleDispatch() {
		if (!this.isDispatchScheduled) {
			this.isDispatchScheduled = true;
			this.loop.execute(this::dispatch);
		}
	}

	private void dispatchWaiting() {
		if (!this.calls.isEmpty()) {
			scheduleDispatch();
		}
	}

	private void dispatch() {
		this.isDispatchScheduled = false;
		for (TrafficAction action : this.traffic.dispatch(System.nanoTime())) {
			ForwardCall call = this.calls.get(action.request());
			if (call != null && action instanceof TrafficAction.Send send) {
				call.send(send);
			}
			else if (call != null && action instanceof TrafficAction.Refuse refuse) {
				call.refused(refuse);
			}
		}
	}

	EventLoop loop() {
		return this.loop;
	}

	BackendClient client() {
		return this.client;
	}

	HeaderCodec dialect() {
		return this.dialect;
	}

	TrafficController traffic() {
		return this.traffic;
	}

	AdapterLoader adapters() {
		return this.adapters;
	}

	DemandListener demand() {
		return this.demand;
	}

	PlacementForecast forecast() {
		return this.forecast;
	}

	ForwardMetrics metrics() {
		return this.metrics;
	}

}
