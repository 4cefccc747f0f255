package org.celeryhill.edge;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.HostId;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.UsageTotals;
import org.celeryhill.forward.AdapterLoader;
import org.celeryhill.forward.Forwarder;
import org.celeryhill.forward.IncomingRequest;
import org.celeryhill.forward.IngressLimits;
import org.celeryhill.forward.PlacementForecast;
import org.celeryhill.forward.RequestHandler;
import org.celeryhill.forward.RequestMetadata;
import org.celeryhill.forward.ResponseChannel;
import org.celeryhill.platform.JsonHttpClient;
import org.celeryhill.platform.ResponseMatching;
import org.celeryhill.platform.ServerEntryCodec;

/**
 * Exchanges heartbeats with the holder of the placement lease. Several times a second
 * each host sends its demand and usage to the holder and receives the usage of the other
 * hosts, the models that are about to be unloaded, the times until models are loaded, the
 * rows of the backend servers in the store and a newer configuration. A host that does
 * not know the holder sends its heartbeats to the other known hosts in turn. Must be used
 * on the event loop.
 */
final class PeerService implements RequestHandler, AdapterLoader, PlacementForecast {

	private static final EventLog LOG = EventLog.of(PeerService.class);

	private static final String HEARTBEAT_PATH = "/heartbeat";

	private static final String ADAPTER_PATH = "/adapter";

	private static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(700);

	private static final Duration ADAPTER_TIMEOUT = Duration.ofMillis(900);

	private static final long HEARTBEAT_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	private final PeerMembers members = new PeerMembers();

	private final FleetUsage fleetUsage;

	private final HostId host;

	private final Set<PeerMessages.EngineModel> usedAdapters = new HashSet<>();

	private final HeartbeatVolume heartbeatVolume = new HeartbeatVolume();

	private final EventLoop loop;

	private final JsonHttpClient calls;

	private final Forwarder forwarder;

	private final Leadership leadership;

	private final PlacementLoop placementLoop;

	private final DemandMeter demandMeter;

	private final ConfigurationHolder configuration;

	private final StoreFollower storeFollower;

	private final StoreRelay storeRelay;

	private final String address;

	private final PeerTargets targets;

	private final EvidenceExchange evidenceExchange;

	private final QuotaExchange quotaExchange;

	private long lastHeartbeatNanos = System.nanoTime() - HEARTBEAT_PERIOD_NANOS;

	private boolean isHeartbeatPending;

	private Map<ModelId, Duration> loadTimes = Map.of();

	private long loadTimesUpdatedNanos = System.nanoTime();

	private int nextRelayIndex;

	private boolean hasNewEvidence;

	private final LeaseRecordCache leaseRecords = new LeaseRecordCache();

	/** Null after each tick, as the placement may have changed. */
	private PlacementSummary placementSummary;

	PeerService(EventLoop loop, JsonHttpClient calls, Forwarder forwarder, Leadership leadership,
			PlacementLoop placementLoop, DemandMeter demandMeter, ConfigurationHolder configuration,
			StoreFollower storeFollower, StoreRelay storeRelay, EdgeMetrics metrics, EdgeSettings settings) {
		this.loop = loop;
		this.calls = calls;
		this.forwarder = forwarder;
		this.leadership = leadership;
		this.placementLoop = placementLoop;
		this.demandMeter = demandMeter;
		this.configuration = configuration;
		this.storeFollower = storeFollower;
		this.storeRelay = storeRelay;
		this.address = settings.peer;
		this.host = HostId.of(settings.hostId);
		this.fleetUsage = new FleetUsage(this.host, DataCentre.of(settings.dataCentre));
		this.targets = new PeerTargets(leadership::holder, this.members, ServerEntryCodec.address(settings.peer),
				settings.seedAddresses());
		this.evidenceExchange = new EvidenceExchange(forwarder.promptGuard());
		this.quotaExchange = new QuotaExchange(calls, leadership, metrics, settings.quotaBound(),
				ServerEntryCodec.address(settings.peer), settings.hostId, this.members::addresses);
		forwarder.setQuotaGate(this.quotaExchange);
		forwarder.promptGuard().setEvidenceListener(() -> this.hasNewEvidence = true);
		forwarder.promptGuard().setProbePermit(leadership::isHolder);
	}

	// Sends a heartbeat if one is due. On the lease holder, updates the local state from
	// the placement instead.
	void tick() {
		this.placementSummary = null;
		this.quotaExchange.tick();
		long now = System.nanoTime();
		boolean isDue = now - this.lastHeartbeatNanos >= HEARTBEAT_PERIOD_NANOS;
		if (this.isHeartbeatPending || !(isDue || this.hasNewEvidence)) {
			return;
		}
		this.lastHeartbeatNanos = now;
		if (this.leadership.isHolder()) {
			this.usedAdapters.forEach((use) -> this.placementLoop.recordAdapterUse(use.engine(), use.model()));
			this.usedAdapters.clear();
			updateRetiringModels(retiringModels());
			updateLoadTimes(this.placementLoop.remainingLoadTimes());
			this.fleetUsage.record(this.forwarder.usageTotals());
			this.forwarder.observeOtherHosts(this.fleetUsage.sumWithout(this.host), this.members.count());
			this.demandMeter.forgetInformedHost();
			// The other hosts get the evidence in the responses to their heartbeats.
			this.hasNewEvidence = false;
			return;
		}
		this.targets.next(this.hasNewEvidence).ifPresent(this::sendHeartbeat);
	}

	private void sendHeartbeat(InetSocketAddress target) {
		this.isHeartbeatPending = true;
		this.hasNewEvidence = false;
		ObjectNode evidence = this.evidenceExchange.encodeRequest(target);
		ObjectNode body = JsonHttpClient.MAPPER.createObjectNode();
		body.put("address", this.address);
		body.put("version", this.configuration.version());
		body.put("needsConfiguration", this.configuration.isDocumentNeeded(this.storeFollower.isOperatorTableLost()));
		body.put("servers", this.storeFollower.serverVersion());
		body.set("usage", PeerMessages.encodeUsage(this.forwarder.usageTotals()));
		body.put("isWholeDemand", !this.demandMeter.isInformed(target));
		body.set("demand", PeerMessages.encodeDemand(this.demandMeter.unknownRates(target)));
		body.set("uses", PeerMessages.encodeEngineModels(List.copyOf(this.usedAdapters)));
		body.put("namedHosts", this.targets.namedHostsHash());
		if (!evidence.isEmpty()) {
			body.set("evidence", evidence);
		}
		this.usedAdapters.clear();
		Optional<ObjectNode> quotaReport = this.quotaExchange.encodeRequest(target);
		quotaReport.ifPresent((report) -> body.set("quota", report));
		long startNanos = System.nanoTime();
		this.calls.send(peerCall(target, HEARTBEAT_PATH, body, HEARTBEAT_TIMEOUT)).whenComplete((reply, failure) -> {
			this.isHeartbeatPending = false;
			if (failure != null || reply.status() != HttpResponseStatus.OK.code()) {
				this.targets.recordFailure(target);
				this.quotaExchange.handleFailure(target, quotaReport);
				this.hasNewEvidence |= evidence.path("items").size() > 0;
				LOG.info("beat_failed", "target", target, "cause", (failure != null) ? failure : reply.status());
				return;
			}
			try {
				this.hasNewEvidence |= this.evidenceExchange.handleResponse(target, evidence,
						reply.body().path("evidence"));
				this.quotaExchange.handleResponse(target, quotaReport, reply.body(), startNanos);
				handleHeartbeatResponse(target, reply.body(), startNanos);
			}
			catch (IllegalArgumentException ex) {
				LOG.warn("peer_message_malformed", "target", target, "cause", ex.getMessage());
				this.quotaExchange.handleFailure(target, quotaReport);
			}
		});
	}

	static JsonHttpClient.Call peerCall(InetSocketAddress target, String path, ObjectNode body, Duration timeout) {
		return new JsonHttpClient.Call(target, "peer", ResponseMatching.CALL_ID, "POST", path, Map.of(),
				Optional.of(body), timeout);
	}

	private void handleHeartbeatResponse(InetSocketAddress target, JsonNode reply, long sentNanos) {
		this.targets.recordResponse(PeerMessages.findText(reply, "holder").map(ServerEntryCodec::address));
		if (reply.path("namedHosts").isArray()) {
			this.targets.recordNamedHosts(PeerMessages.decodeAddresses(reply.path("namedHosts")));
		}
		PeerMessages.findText(reply, "configuration")
			.ifPresent((text) -> this.configuration.applyIfNewer(Compression.expand(text), "peer"));
		this.configuration.recordAnnounced(reply.path("configurationVersion").asLong());
		if (!reply.path("isHolder").asBoolean() || reply.path("isDemandNeeded").asBoolean()) {
			this.demandMeter.forgetInformedHost();
		}
		else {
			this.demandMeter.recordInformed(target, sentNanos);
		}
		if (reply.path("isHolder").asBoolean()) {
			if (reply.path("others").isObject()) {
				this.forwarder.observeOtherHosts(PeerMessages.decodeUsage(reply.path("others")),
						reply.path("otherHosts").asInt());
			}
			updateRetiringModels(PeerMessages.decodeEngineModels(reply.path("retiring")));
			updateLoadTimes(PeerMessages.decodeLoadTimes(reply.path("arriving")));
			PeerMessages.findText(reply, "lease")
				.flatMap(this.leaseRecords::parse)
				.ifPresent(this.leadership::recordHolderResponse);
			if (reply.path("store").isObject()) {
				this.storeFollower.applyHolderRows(reply.path("store"), sentNanos);
			}
		}
	}

	private void updateLoadTimes(Map<ModelId, Duration> models) {
		this.loadTimes = models;
		this.loadTimesUpdatedNanos = System.nanoTime();
	}

	@Override
	public Optional<Duration> timeUntilReady(ModelId model) {
		long age = System.nanoTime() - this.loadTimesUpdatedNanos;
		return Optional.ofNullable(this.loadTimes.get(model)).map((time) -> time.minusNanos(age));
	}

	private void updateRetiringModels(List<PeerMessages.EngineModel> models) {
		Map<BackendServerId, ModelId> byEngine = new HashMap<>();
		models.forEach((one) -> byEngine.put(one.engine(), one.model()));
		this.forwarder.directory().setRetiringModels(byEngine);
	}

	private List<PeerMessages.EngineModel> retiringModels() {
		List<PeerMessages.EngineModel> models = new ArrayList<>();
		this.placementLoop.retiringModels()
			.forEach((engine, model) -> models.add(new PeerMessages.EngineModel(engine, model)));
		return models;
	}

	// Returns the state of the quotas for operators, empty if there are none.
	String dumpQuotas() {
		return this.quotaExchange.dump();
	}

	// Returns the total demand over this host and all hosts that send heartbeats to it.
	Map<DemandMeter.Key, DemandMeter.Rate> totalDemand() {
		Map<DemandMeter.Key, DemandMeter.Rate> total = new HashMap<>(this.demandMeter.rates());
		this.members.addDemand(total);
		return total;
	}

	// Returns the next host, in turn, that can relay calls to the store. Empty if this
	// host neither holds the lease nor held it recently, or if no other host is known.
	Optional<InetSocketAddress> nextRelayHost() {
		List<String> memberAddresses = this.members.addresses();
		if (!this.leadership.wasHolderRecently() || memberAddresses.isEmpty()) {
			return Optional.empty();
		}
		return Optional
			.of(ServerEntryCodec.address(memberAddresses.get(this.nextRelayIndex++ % memberAddresses.size())));
	}

	@Override
	public void load(BackendServerId engine, RequestMetadata.ModelName name, Consumer<Boolean> done) {
		Consumer<Boolean> onLoaded = (isLoaded) -> {
			if (isLoaded) {
				this.forwarder.directory().addAdapter(engine, name.toId());
			}
			done.accept(isLoaded);
		};
		if (this.leadership.isHolder()) {
			this.placementLoop.loadAdapter(engine, name, onLoaded);
			return;
		}
		Optional<InetSocketAddress> holder = this.targets.holder();
		if (holder.isEmpty()) {
			LOG.info("adapter_not_requested", "engine", engine, "adapter", name.toId(), "reason", "no_holder");
			onLoaded.accept(false);
			return;
		}
		ObjectNode body = PeerMessages.encodeAdapterRequest(engine, name.model(), name.adapter().orElseThrow());
		this.calls.send(peerCall(holder.get(), ADAPTER_PATH, body, ADAPTER_TIMEOUT)).whenComplete((reply, failure) -> {
			boolean isLoaded = failure == null && reply.status() == HttpResponseStatus.OK.code()
					&& reply.body().path("isLoaded").asBoolean();
			onLoaded.accept(isLoaded);
		});
	}

	@Override
	public void recordUse(BackendServerId engine, RequestMetadata.ModelName name) {
		this.usedAdapters.add(new PeerMessages.EngineModel(engine, name.toId()));
	}

	@Override
	public ActiveRequest handle(IncomingRequest request, ResponseChannel channel) {
		byte[] bytes = ByteBufUtil.getBytes(request.body());
		request.body().release();
		Responder responder = new Responder(channel, ResponseMatching.responseHeaders(request.headers()));
		try {
			JsonNode body = JsonHttpClient.MAPPER.readTree(bytes);
			if (request.target().equals(HEARTBEAT_PATH)) {
				int responseBytes = responder.respond(processHeartbeat(body));
				this.heartbeatVolume.add(bytes.length, responseBytes, this.members.count());
			}
			else if (request.target().equals(ADAPTER_PATH)) {
				processAdapterRequest(body, responder);
			}
			else if (request.target().equals(QuotaExchange.PATH)) {
				responder.respond(this.quotaExchange.answer(body).orElseGet(JsonHttpClient.MAPPER::createObjectNode));
			}
			else if (request.target().equals(StoreRelay.PATH)) {
				this.storeRelay.processRelayedCall(body, (reply) -> reply.ifPresentOrElse(responder::respond,
						() -> responder.fail(HttpResponseStatus.BAD_GATEWAY)));
			}
			else {
				responder.fail(HttpResponseStatus.NOT_FOUND);
			}
		}
		catch (IOException | IllegalArgumentException ex) {
			LOG.warn("peer_message_malformed", "target", request.target(), "cause", ex.getMessage());
			responder.fail(HttpResponseStatus.BAD_REQUEST);
		}
		return ActiveRequest.NONE;
	}

	private ObjectNode processHeartbeat(JsonNode body) {
		String sender = body.path("address").asText();
		ServerEntryCodec.address(sender);
		UsageTotals usage = PeerMessages.decodeUsage(body.path("usage"));
		boolean isDemandKnown = this.members.recordHeartbeat(sender, body.path("isWholeDemand").asBoolean(),
				PeerMessages.decodeDemand(body.path("demand")));
		this.fleetUsage.record(usage);
		ObjectNode reply = JsonHttpClient.MAPPER.createObjectNode();
		reply.put("isHolder", this.leadership.isHolder());
		if (this.leadership.isHolder()) {
			reply.put("holder", this.address);
			PeerMessages.decodeEngineModels(body.path("uses"))
				.forEach((use) -> this.placementLoop.recordAdapterUse(use.engine(), use.model()));
			reply.put("isDemandNeeded", !isDemandKnown);
			reply.set("others", PeerMessages.encodeUsage(this.fleetUsage.sumWithout(usage.host())));
			reply.put("otherHosts", this.members.count());
			reply.set("retiring", placementSummary().retiring());
			reply.set("arriving", placementSummary().arriving());
			this.leadership.lastWrittenRecord()
				.ifPresent((record) -> reply.put("lease", this.leaseRecords.toText(record)));
			this.storeFollower.encodeChangesAfter(body.path("servers").asLong())
				.ifPresent((store) -> reply.set("store", store));
		}
		else {
			this.leadership.holder().ifPresent((holder) -> reply.put("holder", ServerEntryCodec.formatAddress(holder)));
		}
		List<String> namedHosts = this.targets.namedHosts();
		if (namedHosts.hashCode() != body.path("namedHosts").asInt()) {
			reply.set("namedHosts", PeerMessages.encodeAddresses(namedHosts));
		}
		this.quotaExchange.answer(body.path("quota")).ifPresent((answer) -> reply.set("quota", answer));
		this.evidenceExchange.answer(body.path("evidence")).ifPresent((evidence) -> reply.set("evidence", evidence));
		reply.put("configurationVersion", this.configuration.version());
		boolean isNewer = this.configuration.version() > body.path("version").asLong();
		if (isNewer && body.path("needsConfiguration").asBoolean()) {
			reply.put("configuration", this.configuration.compressedDocument());
		}
		return reply;
	}

	private PlacementSummary placementSummary() {
		if (this.placementSummary == null) {
			this.placementSummary = new PlacementSummary(PeerMessages.encodeEngineModels(retiringModels()),
					PeerMessages.encodeLoadTimes(this.placementLoop.remainingLoadTimes()));
		}
		return this.placementSummary;
	}

	private void processAdapterRequest(JsonNode body, Responder responder) {
		BackendServerId engine = BackendServerId.of(body.path("engine").asText());
		RequestMetadata.ModelName name = new RequestMetadata.ModelName(ModelId.of(body.path("model").asText()),
				PeerMessages.findText(body, "adapter"));
		this.placementLoop.loadAdapter(engine, name, (isLoaded) -> {
			if (isLoaded) {
				this.forwarder.directory().addAdapter(engine, name.toId());
			}
			responder.respond(JsonHttpClient.MAPPER.createObjectNode().put("isLoaded", isLoaded));
		});
	}

	@Override
	public IngressLimits limits() {
		return IngressLimits.DEFAULTS;
	}

	/**
	 * Responds to one call of another host.
	 *
	 * @param channel sends the response
	 * @param headers the headers of the response, by which the other host recognizes it
	 */
	private record Responder(ResponseChannel channel, HttpHeaders headers) {

		// Sends a response and returns the size of its body in bytes.
		int respond(ObjectNode body) {
			try {
				byte[] bytes = JsonHttpClient.MAPPER.writeValueAsBytes(body);
				this.channel.respond(HttpResponseStatus.OK, this.headers, Unpooled.wrappedBuffer(bytes));
				return bytes.length;
			}
			catch (IOException ex) {
				throw new IllegalStateException("failed to encode a message", ex);
			}
		}

		void fail(HttpResponseStatus status) {
			this.channel.respond(status, this.headers, Unpooled.EMPTY_BUFFER);
		}

	}

}
