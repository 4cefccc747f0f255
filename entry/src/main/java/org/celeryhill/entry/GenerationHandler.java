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
 * Serves generations: new ones, re-sent ones with {@code Last-Event-ID}, and resumptions
 * by event id alone. Thread-safe.
 */
final class GenerationHandler {

	/** Header of a resumed stream. */
	static final String LAST_EVENT_ID = "Last-Event-ID";

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(GenerationHandler.class);

	/** Parses bodies. */
	private final GenerationParser parser;

	/** Signs event ids. */
	private final EventIdCodec codec;

	/** Finds the router of a system. */
	private final Function<ServingSystem, AttemptRouter> routers;

	/** What all generations share. */
	private final GenerationContext context;

	/** Running generations. */
	private final LiveRelays relays;

	/** Limits. */
	private final ApiLimits limits;

	/** Writes of each I/O thread. */
	private final Map<XnioIoThread, FlushBatch> batches = new ConcurrentHashMap<>();

	GenerationHandler(GenerationParser parser, EventIdCodec codec, Function<ServingSystem, AttemptRouter> routers,
			GenerationContext context, LiveRelays relays, ApiLimits limits) {
		this.parser = Objects.requireNonNull(parser, "parser");
		this.codec = Objects.requireNonNull(codec, "codec");
		this.routers = Objects.requireNonNull(routers, "routers");
		this.context = Objects.requireNonNull(context, "context");
		this.relays = Objects.requireNonNull(relays, "relays");
		this.limits = Objects.requireNonNull(limits, "limits");
	}

	/**
	 * Serves a generation with its body.
	 * @param api the exchange, not null
	 * @param organisation the caller, not null
	 * @param index what the organisation reaches, not null
	 * @param shape the form, not null
	 * @param body the body, not null
	 * @throws ApiException if the request cannot be served
	 */
	void generate(ApiExchange api, OrganisationId organisation, CallerIndex index, ApiShape shape, byte[] body)
			throws ApiException {
		GenerationJob job = this.parser.parse(api.id(), organisation, index, shape, api.header("X-Priority"), body);
		String lastEventId = api.header(LAST_EVENT_ID);
		if (lastEventId == null || !job.isStream()) {
			run(api, job, Optional.empty());
			return;
		}
		EventId origin = decode(lastEventId, organisation);
		if (!origin.isFor(job.digest())) {
			throw ApiException.notRun(ErrorCode.INVALID_EVENT_ID,
					"The Last-Event-ID belongs to another request; send exactly the original body or leave it out.");
		}
		run(api, job.resuming(origin), Optional.of(origin));
	}

	/**
	 * Resumes a stream by its event id alone.
	 * @param api the exchange, not null
	 * @param organisation the caller, not null
	 * @param index what the organisation reaches, not null
	 * @throws ApiException if the event id cannot be used
	 */
	void resume(ApiExchange api, OrganisationId organisation, CallerIndex index) throws ApiException {
		String lastEventId = api.header(LAST_EVENT_ID);
		if (lastEventId == null) {
			throw ApiException.notRun(ErrorCode.INVALID_EVENT_ID,
					"Send the id of the last received event in the header Last-Event-ID.");
		}
		EventId origin = decode(lastEventId, organisation);
		OrganisationParameters parameters = index.model(organisation, origin.model());
		GenerationJob job = new GenerationJob(api.id(), origin.request(), organisation, parameters.service(),
				origin.model(), PriorityClass.NORMAL, origin.shape(), Optional.empty(), List.of(), Integer.MAX_VALUE,
				origin.seed(), true, origin.system(), origin.createdSeconds(), origin.digest(),
				this.context.timer().nanoTime());
		run(api, job, Optional.of(origin));
	}

	private EventId decode(String text, OrganisationId organisation) throws ApiException {
		return this.codec.decode(text.trim())
			.filter((id) -> id.organisation().equals(organisation))
			.orElseThrow(() -> ApiException.notRun(ErrorCode.INVALID_EVENT_ID,
					"The Last-Event-ID was not issued to this organisation; send the id of a received event unchanged."));
	}

	private void run(ApiExchange api, GenerationJob job, Optional<EventId> origin) {
		RelayHolder holder = new RelayHolder();
		AnswerFormat format = new AnswerFormat(job);
		AnswerSink sink = job.isStream() ? new SseSink(api, newChannel(api, holder), format, this.codec)
				: new WholeAnswerSink(api, format);
		AnswerText answer = origin.map(AnswerText::resumedAt).orElseGet(AnswerText::empty);
		StreamRelay relay = new StreamRelay(job, answer, sink, this.routers.apply(job.system()), this.context,
				() -> this.relays.remove(holder.relay));
		holder.relay = relay;
		this.relays.add(relay);
		LOG.debug("generation_started", "request", job.id(), "answer", job.answerId(), "organisation",
				job.organisation(), "model", job.model(), "system", job.system());
		DisconnectWatch.start(api.exchange(), relay::cancel);
		origin.ifPresentOrElse(relay::resume, relay::start);
	}

	private SseChannel newChannel(ApiExchange api, RelayHolder holder) {
		XnioIoThread thread = api.exchange().getIoThread();
		FlushBatch batch = this.batches.computeIfAbsent(thread, FlushBatch::new);
		return new SseChannel(api.exchange(), batch, this.limits.maxPendingBytes(), holder::cancel);
	}

	/** Breaks the cycle between a relay and its sink. */
	private static final class RelayHolder {

		/** Relay, set before the sink is used. */
		private volatile StreamRelay relay;

		private void cancel() {
			this.relay.cancel();
		}

	}

}
