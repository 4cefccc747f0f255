package org.celeryhill.edge;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.EventLog;
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
import org.celeryhill.platform.ServerEntryCodec;
import org.celeryhill.state.LeaseRecord;

/**
 * Connects this host with the holder of the placement lease. Each host tells the holder
 * its demand and usage several times a second and learns the usage of the others, the
 * models that are about to leave engines, the engines' rows in the store and a newer
 * configuration. A host that does not know the holder asks the hosts that it knows. Must
 * be used on the event loop.
 */
final class PeerService implements RequestHandler, AdapterLoader, PlacementForecast {

	private static final EventLog LOG = EventLog.of(PeerService.class);

	private static final String BEAT = "/beat";

	private static final String ADAPTER = "/adapter";

	private static final Duration BEAT_TIMEOUT = Duration.ofMillis(700);

	private static final Duration ADAPTER_TIMEOUT = Duration.ofMillis(900);

	private static final long BEAT_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	/** A host that was silent for longer no longer counts. */
	private static final long MEMBER_NANOS = TimeUnit.MILLISECONDS.toNanos(2500);

	private final Map<String, Member> members = new LinkedHashMap<>();

	private final Set<PeerMessages.EngineModel> uses = new HashSet<>();

	private final EventLoop loop;

	private final JsonHttpClient calls;

	private final Forwarder forwarder;

	private final Leadership leadership;

	private final PlacementLoop placement;

	private final DemandMeter demand;

	private final ConfigurationHolder configuration;

	private final StoreFollower follower;

	private final StoreRelay relay;

	private final String address;

	private final List<InetSocketAddress> seeds;

	private Optional<InetSocketAddress> hint = Optional.empty();

	private long lastBeatNanos = System.nanoTime() - BEAT_PERIOD_NANOS;

	private boolean isBeating;

	private Map<ModelId, Duration> arriving = Map.of();

	private long arrivingNanos = System.nanoTime();

	private int nextSeed;

	private int nextCaller;

	private boolean isHolderLost;

	PeerService(EventLoop loop, JsonHttpClient calls, Forwarder forwarder, Leadership leadership, PlacementLoop placement,
			DemandMeter demand, ConfigurationHolder configuration, StoreFollower follower, StoreRelay relay,
			EdgeSettings settings) {
		this.loop = loop;
		this.calls = calls;
		this.forwarder = forwarder;
		this.leadership = leadership;
		this.placement = placement;
		this.demand = demand;
		this.configuration = configuration;
		this.follower = follower;
		this.relay = relay;
		this.address = settings.peer;
		this.seeds = settings.seedAddresses();
	}

	// Sends a beat when one is due.
	void tick() {
		long now = System.nanoTime();
		if (this.isBeating || now - this.lastBeatNanos < BEAT_PERIOD_NANOS) {
			return;
		}
		this.lastBeatNanos = now;
		if (this.leadership.isHolder()) {
			this.uses.forEach((use) -> this.placement.used(use.engine(), use.model()));
			this.uses.clear();
			retire(retiring());
			arrive(this.placement.arriving());
			return;
		}
		target().ifPresent(this::beat);
	}

	private Optional<InetSocketAddress> target() {
		Optional<InetSocketAddress> holder = this.leadership.holder().or(() -> this.hint);
		if (holder.isPresent() && !this.isHolderLost) {
			return holder;
		}
		this.isHolderLost = false;
		List<InetSocketAddress> known = new ArrayList<>(this.seeds);
		this.members.keySet().forEach((text) -> known.add(ServerEntryCodec.address(text)));
		known.removeIf((one) -> one.equals(ServerEntryCodec.address(this.address)));
		return known.isEmpty() ? Optional.empty() : Optional.of(known.get(this.nextSeed++ % known.size()));
	}

	private void beat(InetSocketAddress target) {
		this.isBeating = true;
		ObjectNode body = JsonHttpClient.MAPPER.createObjectNode();
		body.put("address", this.address);
		body.put("version", this.configuration.version());
		body.put("servers", this.follower.serverVersion());
		body.set("usage", PeerMessages.encodeUsage(this.forwarder.usageTotals()));
		body.set("demand", PeerMessages.encodeDemand(this.demand.rates()));
		body.set("uses", PeerMessages.encodeModels(List.copyOf(this.uses)));
		this.uses.clear();
		long sent = System.nanoTime();
		this.calls.send(call(target, BEAT, body, BEAT_TIMEOUT)).whenComplete((reply, failure) -> {
			this.isBeating = false;
			if (failure != null || reply.status() != HttpResponseStatus.OK.code()) {
				this.isHolderLost = true;
				this.hint = Optional.empty();
				LOG.info("beat_failed", "target", target, "cause", (failure != null) ? failure : reply.status());
				return;
			}
			receive(reply.body(), sent);
		});
	}

	private static JsonHttpClient.Call call(InetSocketAddress target, String path, ObjectNode body, Duration timeout) {
		return new JsonHttpClient.Call(target, "peer", "POST", path, Map.of(), Optional.of(body), timeout);
	}

	private void receive(JsonNode reply, long sentNanos) {
		PeerMessages.text(reply, "holder").ifPresent((holder) -> this.hint = Optional.of(ServerEntryCodec.address(holder)));
		for (JsonNode usage : reply.path("usage")) {
			this.forwarder.observePeer(PeerMessages.decodeUsage(usage));
		}
		PeerMessages.text(reply, "configuration")
			.ifPresent((text) -> this.configuration.offer(Base64.getDecoder().decode(text), "peer"));
		if (reply.path("isHolder").asBoolean()) {
			retire(PeerMessages.decodeModels(reply.path("retiring")));
			arrive(PeerMessages.decodeArriving(reply.path("arriving")));
			PeerMessages.text(reply, "lease").flatMap(LeaseRecord::parse).ifPresent(this.leadership::hear);
			if (reply.path("store").isObject()) {
				this.follower.receive(reply.path("store"), sentNanos);
			}
		}
	}

	private void arrive(Map<ModelId, Duration> models) {
		this.arriving = models;
		this.arrivingNanos = System.nanoTime();
	}

	@Override
	public Optional<Duration> timeUntilReady(ModelId model) {
		long age = System.nanoTime() - this.arrivingNanos;
		return Optional.ofNullable(this.arriving.get(model)).map((time) -> time.minusNanos(age));
	}

	private void retire(List<PeerMessages.EngineModel> models) {
		Map<BackendServerId, ModelId> byEngine = new HashMap<>();
		models.forEach((one) -> byEngine.put(one.engine(), one.model()));
		this.forwarder.directory().setRetiringModels(byEngine);
	}

	private List<PeerMessages.EngineModel> retiring() {
		List<PeerMessages.EngineModel> models = new ArrayList<>();
		this.placement.retiring().forEach((engine, model) -> models.add(new PeerMessages.EngineModel(engine, model)));
		return models;
	}

	// Returns the demand of all hosts.
	Map<DemandMeter.Key, DemandMeter.Rate> totalDemand() {
		Map<DemandMeter.Key, DemandMeter.Rate> total = new HashMap<>(this.demand.rates());
		removeSilent();
		for (Member member : this.members.values()) {
			member.demand().forEach((key, rate) -> total.merge(key, rate, DemandMeter.Rate::plus));
		}
		return total;
	}

	// Returns a host that can call the store for this one, while this one holds the lease
	// or did so until now; another one each time.
	Optional<InetSocketAddress> storeCaller() {
		removeSilent();
		if (!this.leadership.wasHolderLately() || this.members.isEmpty()) {
			return Optional.empty();
		}
		List<String> known = List.copyOf(this.members.keySet());
		return Optional.of(ServerEntryCodec.address(known.get(this.nextCaller++ % known.size())));
	}

	private void removeSilent() {
		long now = System.nanoTime();
		this.members.values().removeIf((member) -> now - member.seenNanos() > MEMBER_NANOS);
	}

	@Override
	public void load(BackendServerId engine, RequestMetadata.ModelName name, Consumer<Boolean> done) {
		Consumer<Boolean> noted = (isLoaded) -> {
			if (isLoaded) {
				this.forwarder.directory().addAdapter(engine, name.toId());
			}
			done.accept(isLoaded);
		};
		if (this.leadership.isHolder()) {
			this.placement.loadAdapter(engine, name, noted);
			return;
		}
		Optional<InetSocketAddress> holder = this.leadership.holder().or(() -> this.hint);
		if (holder.isEmpty()) {
			LOG.info("adapter_not_requested", "engine", engine, "adapter", name.toId(), "reason", "no_holder");
			noted.accept(false);
			return;
		}
		ObjectNode body = PeerMessages.encodeAdapter(engine, name.model(), name.adapter().orElseThrow());
		this.calls.send(call(holder.get(), ADAPTER, body, ADAPTER_TIMEOUT)).whenComplete((reply, failure) -> {
			boolean isLoaded = failure == null && reply.status() == HttpResponseStatus.OK.code()
					&& reply.body().path("isLoaded").asBoolean();
			noted.accept(isLoaded);
		});
	}

	@Override
	public void recordUse(BackendServerId engine, RequestMetadata.ModelName name) {
		this.uses.add(new PeerMessages.EngineModel(engine, name.toId()));
	}

	@Override
	public ActiveRequest handle(IncomingRequest request, ResponseChannel channel) {
		byte[] bytes = ByteBufUtil.getBytes(request.body());
		request.body().release();
		try {
			JsonNode body = JsonHttpClient.MAPPER.readTree(bytes);
			if (request.target().equals(BEAT)) {
				answer(channel, answerBeat(body));
			}
			else if (request.target().equals(ADAPTER)) {
				answerAdapter(body, channel);
			}
			else if (request.target().equals(StoreRelay.PATH)) {
				this.relay.answer(body,
						(reply) -> reply.ifPresentOrElse((found) -> answer(channel, found), () -> channel
							.respond(HttpResponseStatus.BAD_GATEWAY, EmptyHttpHeaders.INSTANCE, Unpooled.EMPTY_BUFFER)));
			}
			else {
				channel.respond(HttpResponseStatus.NOT_FOUND, EmptyHttpHeaders.INSTANCE, Unpooled.EMPTY_BUFFER);
			}
		}
		catch (IOException | IllegalArgumentException ex) {
			LOG.warn("peer_message_malformed", "target", request.target(), "cause", ex.getMessage());
			channel.respond(HttpResponseStatus.BAD_REQUEST, EmptyHttpHeaders.INSTANCE, Unpooled.EMPTY_BUFFER);
		}
		return ActiveRequest.NONE;
	}

	private static void answer(ResponseChannel channel, ObjectNode body) {
		try {
			channel.respond(HttpResponseStatus.OK, EmptyHttpHeaders.INSTANCE,
					Unpooled.wrappedBuffer(JsonHttpClient.MAPPER.writeValueAsBytes(body)));
		}
		catch (IOException ex) {
			throw new IllegalStateException("cannot encode a message", ex);
		}
	}

	private ObjectNode answerBeat(JsonNode body) {
		String sender = body.path("address").asText();
		ServerEntryCodec.address(sender);
		UsageTotals usage = PeerMessages.decodeUsage(body.path("usage"));
		this.members.put(sender, new Member(usage, PeerMessages.decodeDemand(body.path("demand")), System.nanoTime()));
		removeSilent();
		this.forwarder.observePeer(usage);
		ObjectNode reply = JsonHttpClient.MAPPER.createObjectNode();
		reply.put("isHolder", this.leadership.isHolder());
		if (this.leadership.isHolder()) {
			reply.put("holder", this.address);
			PeerMessages.decodeModels(body.path("uses"))
				.forEach((use) -> this.placement.used(use.engine(), use.model()));
			ArrayNode usages = reply.putArray("usage");
			usages.add(PeerMessages.encodeUsage(this.forwarder.usageTotals()));
			this.members.forEach((address, member) -> {
				if (!address.equals(sender)) {
					usages.add(PeerMessages.encodeUsage(member.usage()));
				}
			});
			reply.set("retiring", PeerMessages.encodeModels(retiring()));
			reply.set("arriving", PeerMessages.encodeArriving(this.placement.arriving()));
			this.leadership.written().ifPresent((record) -> reply.put("lease", record.toText()));
			this.follower.encode(body.path("servers").asLong()).ifPresent((store) -> reply.set("store", store));
		}
		else {
			this.leadership.holder().ifPresent((holder) -> reply.put("holder", ServerEntryCodec.formatAddress(holder)));
		}
		if (this.configuration.version() > body.path("version").asLong()) {
			reply.put("configuration", Base64.getEncoder().encodeToString(this.configuration.document()));
		}
		return reply;
	}

	private void answerAdapter(JsonNode body, ResponseChannel channel) {
		BackendServerId engine = BackendServerId.of(body.path("engine").asText());
		RequestMetadata.ModelName name = new RequestMetadata.ModelName(ModelId.of(body.path("model").asText()),
				PeerMessages.text(body, "adapter"));
		this.placement.loadAdapter(engine, name, (isLoaded) -> {
			if (isLoaded) {
				this.forwarder.directory().addAdapter(engine, name.toId());
			}
			answer(channel, JsonHttpClient.MAPPER.createObjectNode().put("isLoaded", isLoaded));
		});
	}

	@Override
	public IngressLimits limits() {
		return IngressLimits.DEFAULTS;
	}

	/**
	 * A host that sends beats to this one.
	 *
	 * @param usage its usage, not null
	 * @param demand its demand, not null
	 * @param seenNanos when its last beat arrived
	 */
	private record Member(UsageTotals usage, Map<DemandMeter.Key, DemandMeter.Rate> demand, long seenNanos) {
	}

}
