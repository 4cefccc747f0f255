package org.celeryhill.entry;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

import org.celeryhill.base.EventLog;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.config.OrganisationParameters;
import org.celeryhill.state.ServingSystem;
import org.xnio.XnioIoThread;

/**
 * Serves generation requests: new requests, requests sent again with
 * {@code Last-Event-ID}, and resumptions by event id without a body. Thread-safe.
 */
final class GenerationHandler {

	/** Header with the id of the last received event of a stream. */
	static final String LAST_EVENT_ID = "Last-Event-ID";

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(GenerationHandler.class);

	/** Parses request bodies. */
	private final GenerationParser parser;

	/** Signs and verifies event ids. */
	private final EventIdCodec codec;

	/** Returns the router of a serving system. */
	private final Function<ServingSystem, AttemptRouter> routers;

	/** Collaborators and timeouts shared by all generations. */
	private final GenerationContext context;

	/** Generations that run in this daemon. */
	private final ActiveRelays relays;

	/** Limits of the API. */
	private final ApiLimits limits;

	/** Write batch of each I/O thread. */
	private final Map<XnioIoThread, FlushBatch> flushBatches = new ConcurrentHashMap<>();

	GenerationHandler(GenerationParser parser, EventIdCodec codec, Function<ServingSystem, AttemptRouter> routers,
			GenerationContext context, ActiveRelays relays, ApiLimits limits) {
		this.parser = Objects.requireNonNull(parser, "parser");
		this.codec = Objects.requireNonNull(codec, "codec");
		this.routers = Objects.requireNonNull(routers, "routers");
		this.context = Objects.requireNonNull(context, "context");
		this.relays = Objects.requireNonNull(relays, "relays");
		this.limits = Objects.requireNonNull(limits, "limits");
	}

	/**
	 * Serves a generation request.
	 * @param api the exchange with the caller, not null
	 * @param organisation the organisation of the caller, not null
	 * @param index the configuration, not null
	 * @param shape the API format of request and response, not null
	 * @param body the request body, not null
	 * @throws ApiException if the request cannot be served
	 */
	void generate(ApiExchange api, OrganisationId organisation, CallerIndex index, ApiShape shape, byte[] body)
			throws ApiException {
		GenerationJob job = this.parser.parse(api.id(), organisation, index, shape, api.header("X-Priority"), body);
		String lastEventId = api.header(LAST_EVENT_ID);
		if (lastEventId == null || !job.isStream()) {
			startRelay(api, job, Optional.empty());
			return;
		}
		EventId origin = decodeEventId(lastEventId, organisation);
		if (!origin.isForRequest(job.digest())) {
			throw ApiException.notRun(ErrorCode.INVALID_EVENT_ID,
					"The Last-Event-ID belongs to another request; send exactly the original body or leave it out.");
		}
		startRelay(api, job.resumedFrom(origin), Optional.of(origin));
	}

	/**
	 * Resumes a stream by its event id, without the original request body.
	 * @param api the exchange with the caller, not null
	 * @param organisation the organisation of the caller, not null
	 * @param index the configuration, not null
	 * @throws ApiException if the event id is missing or invalid, or the model is not
	 * available to the organisation
	 */
	void resume(ApiExchange api, OrganisationId organisation, CallerIndex index) throws ApiException {
		String lastEventId = api.header(LAST_EVENT_ID);
		if (lastEventId == null) {
			throw ApiException.notRun(ErrorCode.INVALID_EVENT_ID,
					"Send the id of the last received event in the header Last-Event-ID.");
		}
		EventId origin = decodeEventId(lastEventId, organisation);
		OrganisationParameters parameters = index.model(organisation, origin.model());
		GenerationJob job = new GenerationJob(api.id(), origin.request(), organisation, parameters.service(),
				origin.model(), PriorityClass.NORMAL, origin.shape(), Optional.empty(), List.of(), Integer.MAX_VALUE,
				origin.seed(), true, origin.system(), origin.createdSeconds(), origin.digest(),
				this.context.timer().nanoTime());
		startRelay(api, job, Optional.of(origin));
	}

	private EventId decodeEventId(String text, OrganisationId organisation) throws ApiException {
		return this.codec.decode(text.trim())
			.filter((id) -> id.organisation().equals(organisation))
			.orElseThrow(() -> ApiException.notRun(ErrorCode.INVALID_EVENT_ID,
					"The Last-Event-ID was not issued to this organisation; send the id of a received event unchanged."));
	}

	private void startRelay(ApiExchange api, GenerationJob job, Optional<EventId> origin) {
		RelayHolder holder = new RelayHolder();
		ResponseEncoder encoder = new ResponseEncoder(job);
		ResponseSink sink = job.isStream() ? new SseResponseSink(api, newChannel(api, holder), encoder, this.codec)
				: new BufferedResponseSink(api, encoder);
		GeneratedText generatedText = origin.map(GeneratedText::resumedAt).orElseGet(GeneratedText::empty);
		GenerationRelay relay = new GenerationRelay(job, generatedText, sink, this.routers.apply(job.system()),
				this.context, () -> this.relays.remove(holder.relay));
		holder.relay = relay;
		this.relays.add(relay);
		LOG.debug("generation_started", "request", job.id(), "answer", job.responseId(), "organisation",
				job.organisation(), "model", job.model(), "system", job.system());
		DisconnectDetector.watch(api.exchange(), relay::cancel);
		origin.ifPresentOrElse(relay::resume, relay::start);
	}

	private SseChannel newChannel(ApiExchange api, RelayHolder holder) {
		XnioIoThread thread = api.exchange().getIoThread();
		FlushBatch batch = this.flushBatches.computeIfAbsent(thread, FlushBatch::new);
		return new SseChannel(api.exchange(), batch, this.limits.maxPendingBytes(), holder::cancel);
	}

	/** Holds the relay for its sink, which is created before the relay. */
	private static final class RelayHolder {

		/** Relay of the generation, set before the sink is used. */
		private volatile GenerationRelay relay;

		private void cancel() {
			this.relay.cancel();
		}

	}

}
