package org.celeryhill.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.celeryhill.access.Organisation;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.ServiceId;
import org.celeryhill.base.UsageTotals;
import org.celeryhill.port.Engine;
import org.celeryhill.quota.QuotaGate;
import org.celeryhill.traffic.TrafficAction;
import org.celeryhill.traffic.TrafficController;

/**
 * Forwards requests of callers to backend servers according to the active configuration.
 * Keeps the active requests and passes requests, backend server states and results to the
 * {@link TrafficController}. Must be used on the event loop, except for the factory
 * method.
 */
public final class Forwarder implements RequestHandler {

	private static final EventLog LOG = EventLog.of(Forwarder.class);

	/** Period of the removal of expired evidence against prompt parts. */
	private static final long EXPIRY_PERIOD_MS = 10_000;

	private final ActiveCalls calls = new ActiveCalls();

	private final EventLoop loop;

	private final BackendClient client;

	private final HeaderCodec headerCodec;

	private final TrafficController traffic;

	private final ServerDirectory directory;

	private final ResponseBuffers responseBuffers = new ResponseBuffers();

	private final PromptGuard promptGuard;

	private final ForwardMetrics metrics;

	private final CallerPatience callerPatience = new CallerPatience();

	private AdapterLoader adapterLoader;

	private DemandListener demandListener = DemandListener.NONE;

	private PlacementForecast placementForecast = PlacementForecast.NONE;

	private final AccessGuard access = new AccessGuard();

	private QuotaGate quotaGate = QuotaGate.UNLIMITED;

	private RoutingTable table;

	private final DispatchSchedule dispatchSchedule;

	private final HostStop stop = new HostStop();

	private final RequestReception reception = new RequestReception(this, this.stop);

	private Forwarder(EventLoop loop, BackendClient client, HeaderCodec headerCodec, TrafficController traffic,
			ForwardMetrics metrics) {
		this.loop = loop;
		this.client = client;
		this.headerCodec = headerCodec;
		this.traffic = traffic;
		this.metrics = metrics;
		this.promptGuard = new PromptGuard(client, metrics, this.calls::endThoseWithPart);
		this.dispatchSchedule = new DispatchSchedule(loop, this::dispatch,
				() -> !this.calls.isEmpty() && traffic.isDispatchTimed());
		this.directory = ServerDirectory.create(this::engineProfile, (view) -> {
			traffic.updateBackend(view, System.nanoTime());
			scheduleDispatch();
		}, traffic::removeBackend);
		this.adapterLoader = AdapterLoader.NONE;
	}

	/**
	 * Creates a forwarder without a configuration; it refuses all requests until
	 * {@link #apply} sets one.
	 * @param loop the event loop that runs it, not null
	 * @param client sends requests to backend servers, not null
	 * @param headerCodec encodes and decodes the headers of callers and backend servers,
	 * not null
	 * @param traffic decides on admission, routing and retries, not null
	 * @param metrics records counts and durations of requests, not null
	 * @return the forwarder, never null
	 */
	public static Forwarder create(EventLoop loop, BackendClient client, HeaderCodec headerCodec,
			TrafficController traffic, ForwardMetrics metrics) {
		Objects.requireNonNull(headerCodec, "headerCodec");
		Forwarder forwarder = new Forwarder(loop, client, headerCodec, traffic, metrics);
		PeriodicTask.start(loop, "expire_evidence", EXPIRY_PERIOD_MS,
				() -> forwarder.promptGuard.removeExpired(System.nanoTime()));
		return forwarder;
	}

	/**
	 * Sets the loader of adapters. Without one, every adapter is assumed to be loaded.
	 * @param loader the loader, not null
	 */
	public void setAdapterLoader(AdapterLoader loader) {
		this.adapterLoader = loader;
	}

	/**
	 * Sets the listener for requests for models.
	 * @param listener the listener, not null
	 */
	public void setDemandListener(DemandListener listener) {
		this.demandListener = listener;
	}

	/**
	 * Sets the source of estimates for models that are being loaded.
	 * @param source the source, not null
	 */
	public void setPlacementForecast(PlacementForecast source) {
		this.placementForecast = source;
		this.traffic.setModelForecast(source::timeUntilReady);
	}

	/**
	 * Sets the gate that keeps the quotas of organisations. Without one, no quota is
	 * kept.
	 * @param gate the gate, not null
	 */
	public void setQuotaGate(QuotaGate gate) {
		this.quotaGate = gate;
		if (this.table != null) {
			gate.configure(RevisionMapping.quotaLimits(this.table), System.nanoTime());
		}
	}

	/**
	 * Sets whether the active configuration is known to be the newest one. If it is not,
	 * an unknown key may be one that a newer configuration has added.
	 * @param isCurrent returns whether it is, not null
	 */
	public void setConfigurationCurrency(BooleanSupplier isCurrent) {
		this.access.setConfigurationCurrency(isCurrent);
	}

	/**
	 * Activates a configuration. A version that is not higher than the active one is
	 * ignored. Requests that wait and are no longer allowed are ended.
	 * @param next the configuration, not null
	 * @return whether the configuration was activated
	 */
	public boolean apply(RoutingTable next) {
		if (this.table != null && next.version() <= this.table.version()) {
			return false;
		}
		LOG.info("configuration_applied", "version", next.version(), "previous",
				(this.table != null) ? this.table.version() : 0, "routes", next.routes().size(), "organisations",
				next.keys().organisations().size());
		this.table = next;
		this.access.apply(next.keys());
		this.traffic.apply(RevisionMapping.toRevision(next), System.nanoTime());
		this.quotaGate.configure(RevisionMapping.quotaLimits(next), System.nanoTime());
		this.directory.republish();
		this.calls.recheckAccess();
		scheduleDispatch();
		return true;
	}

	// Checks again whether a request may be sent to a backend server.
	Optional<AccessGuard.Refusal> recheckAccess(ForwardCall call) {
		Route route = findRoute(call.incoming).orElse(call.route);
		return this.access.recheck(route, call.requestMetadata.keys(), call.organisation);
	}

	PriorityClass priority(Route route, Optional<Organisation> organisation) {
		return RevisionMapping.priority(this.table, route, organisation);
	}

	Optional<Route> findRoute(IncomingRequest request) {
		return this.table.findRoute(request.headers().get(HttpHeaderNames.HOST, ""), request.target());
	}

	/**
	 * Returns the active configuration.
	 * @return the configuration, empty before the first one is applied
	 */
	public Optional<RoutingTable> table() {
		return Optional.ofNullable(this.table);
	}

	/**
	 * Returns the directory of backend servers.
	 * @return the directory, never null
	 */
	public ServerDirectory directory() {
		return this.directory;
	}

	/**
	 * Returns the guard against prompts that end backend servers.
	 * @return the guard, never null
	 */
	public PromptGuard promptGuard() {
		return this.promptGuard;
	}

	/**
	 * Returns the usage totals of this host, to be sent to the other hosts.
	 * @return the totals, never null
	 */
	public UsageTotals usageTotals() {
		return this.traffic.nextUsageTotals(System.nanoTime());
	}

	/**
	 * Updates the sum of the usage totals of the other hosts.
	 * @param totals the sum, with the host and incarnation of the host that reports it,
	 * not null
	 * @param hosts the number of other hosts
	 */
	public void observeOtherHosts(UsageTotals totals, int hosts) {
		this.traffic.recordGroupUsage(totals, hosts, System.nanoTime());
	}

	/**
	 * Returns the number of active requests, queued or sent to a backend server.
	 * @return the number of requests
	 */
	public int activeCount() {
		return this.calls.count();
	}

	/**
	 * Ends all active requests: those that were not executed are refused, the others
	 * fail.
	 */
	public void abortAll() {
		this.calls.abort();
	}

	/**
	 * Announces that this host stops. Requests that may not be repeated are refused from
	 * now on if they could not end before.
	 * @param endNanos the time at which the active requests are ended, in nanoseconds
	 */
	public void startStopping(long endNanos) {
		this.stop.start(endNanos);
	}

	/**
	 * Refuses all further requests. Active requests are completed.
	 */
	public void stopAccepting() {
		this.stop.stopAccepting();
	}

	@Override
	public IngressLimits limits() {
		return (this.table != null) ? this.table.limits() : IngressLimits.DEFAULTS;
	}

	@Override
	public ActiveRequest handle(IncomingRequest request, ResponseChannel channel) {
		Optional<ForwardCall> call = this.reception.accept(request, channel);
		call.ifPresent((accepted) -> {
			this.calls.add(accepted);
			accepted.submit();
		});
		return call.map(ActiveRequest.class::cast).orElse(ActiveRequest.NONE);
	}

	CallerPatience callerPatience() {
		return this.callerPatience;
	}

	void removeCall(ForwardCall call) {
		this.calls.remove(call);
	}

	void recordCachedPrefix(BackendServerId engine, ModelId model, List<Long> blockHashes) {
		List<Engine.CacheEvent> events = new ArrayList<>(blockHashes.size());
		for (long blockHash : blockHashes) {
			events.add(new Engine.CacheEvent(0, model, blockHash, 0, true));
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
		this.dispatchSchedule.schedule();
	}

	private void dispatch() {
		for (TrafficAction action : this.traffic.dispatch(System.nanoTime())) {
			this.calls.find(action.request()).ifPresent((call) -> carryOut(action, call));
		}
	}

	private static void carryOut(TrafficAction action, ForwardCall call) {
		if (action instanceof TrafficAction.Send send) {
			call.send(send);
		}
		else if (action instanceof TrafficAction.Refuse refuse) {
			call.refused(refuse);
		}
	}

	EventLoop loop() {
		return this.loop;
	}

	BackendClient client() {
		return this.client;
	}

	HeaderCodec headerCodec() {
		return this.headerCodec;
	}

	AccessGuard access() {
		return this.access;
	}

	QuotaGate quotaGate() {
		return this.quotaGate;
	}

	TrafficController traffic() {
		return this.traffic;
	}

	/**
	 * Records that a backend server process has stated in a response that it is about to
	 * end. Requests that were to be sent to it go to others.
	 * @param server the entry under which it was known, not null
	 */
	public void recordLeaving(ServerEntry server) {
		this.directory.recordLeaving(server);
		this.calls.rerouteUnsent(server.id(), "server_leaving");
	}

	// Sends no requests to a server for some time, as it has asked for that.
	void pauseServer(ServerEntry server, Duration pause) {
		Optional<ServerEntry> current = this.directory.find(server.id());
		if (current.isEmpty() || current.get().isDifferentIncarnation(server)) {
			return;
		}
		this.traffic.pauseBackend(server.id(), pause, System.nanoTime());
		this.calls.rerouteUnsent(server.id(), "server_paused");
		scheduleDispatch();
	}

	@Override
	public void addUnwrittenBytes(int bytes) {
		this.responseBuffers.addUnwritten(bytes);
	}

	ResponseBuffers responseBuffers() {
		return this.responseBuffers;
	}

	AdapterLoader adapterLoader() {
		return this.adapterLoader;
	}

	DemandListener demandListener() {
		return this.demandListener;
	}

	PlacementForecast placementForecast() {
		return this.placementForecast;
	}

	ForwardMetrics metrics() {
		return this.metrics;
	}

}
