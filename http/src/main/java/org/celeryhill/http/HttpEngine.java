package org.celeryhill.http;

import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.schedulers.Schedulers;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.port.Engine;
import org.celeryhill.port.EngineCommand;
import org.celeryhill.port.EngineReport;
import org.celeryhill.port.GenerateEvent;
import org.celeryhill.port.GenerateRequest;
import org.xnio.XnioWorker;

/**
 * Model engine over HTTP; streams are server-sent events. Timeouts between the events of
 * a stream are the caller's. Thread-safe.
 */
public final class HttpEngine implements Engine {

	/** Error code of an answer for a stream that the engine does not know. */
	static final String UNKNOWN_STREAM = "unknown_stream";

	/** Error code of an answer to a command with an old fencing token. */
	static final String STALE_TOKEN = "stale_token";

	/** Scheduler that cancellations are sent on. */
	private static final Scheduler CANCELLATIONS = Schedulers.io();

	/** Headers of a request for a stream. */
	private static final Map<String, String> STREAM_HEADERS = Map.of("Accept", GenerateEventCodec.CONTENT_TYPE,
			"Content-Type", "application/json");

	/** Empty body. */
	private static final byte[] NO_BYTES = new byte[0];

	/** Id of the engine. */
	private final BackendServerId id;

	/** Sends the requests. */
	private final HttpExchange exchange;

	/** Reads the streams. */
	private final StreamClient streams;

	private HttpEngine(BackendServerId id, HttpExchange exchange, StreamClient streams) {
		this.id = id;
		this.exchange = exchange;
		this.streams = streams;
	}

	/**
	 * Returns an adapter whose streams are read on the I/O threads of
	 * {@link IoWorkers#shared()}.
	 * @param id the id of the engine, not null
	 * @param base the address of the engine, not null
	 * @param client the shared client, not null
	 * @param settings the limits, not null
	 * @return the adapter, never null
	 */
	public static HttpEngine create(BackendServerId id, URI base, OkHttpClient client, ClientSettings settings) {
		return create(id, base, client, settings, IoWorkers.shared());
	}

	/**
	 * Returns an adapter.
	 * @param id the id of the engine, not null
	 * @param base the address of the engine, not null
	 * @param client the shared client for all but streams, not null
	 * @param settings the limits, not null
	 * @param worker the worker on whose I/O threads streams are read, not null
	 * @return the adapter, never null
	 */
	public static HttpEngine create(BackendServerId id, URI base, OkHttpClient client, ClientSettings settings,
			XnioWorker worker) {
		return new HttpEngine(id, HttpExchange.of(base, client, settings),
				StreamClient.create(base, worker, settings.connectTimeout()));
	}

	@Override
	public BackendServerId id() {
		return this.id;
	}

	@Override
	public Optional<EngineReport> report() {
		HttpExchange.Outcome outcome = this.exchange.send(get(this.exchange.url("v1/report").build()));
		if (outcome instanceof HttpExchange.Answer answer && answer.status() == 200) {
			return Json.read(answer.body(), EngineReport.class);
		}
		return Optional.empty();
	}

	@Override
	public CommandResult send(EngineCommand command) {
		HttpExchange.Outcome outcome = this.exchange.send(post("v1/commands", command));
		if (outcome instanceof HttpExchange.NotSent) {
			return CommandResult.NOT_SENT;
		}
		if (!(outcome instanceof HttpExchange.Answer answer)) {
			return CommandResult.UNKNOWN;
		}
		return toCommandResult(answer);
	}

	private static CommandResult toCommandResult(HttpExchange.Answer answer) {
		if (answer.status() == 202) {
			return CommandResult.ACCEPTED;
		}
		if (answer.status() == 409 && answer.hasErrorCode(STALE_TOKEN)) {
			return CommandResult.REFUSED_TOKEN;
		}
		boolean isRefused = answer.status() == 422 || answer.isNotRun();
		return isRefused ? CommandResult.REFUSED : CommandResult.UNKNOWN;
	}

	@Override
	public Flowable<GenerateEvent> generate(GenerateRequest request) {
		byte[] body = Json.write(request);
		String path = toPath(this.exchange.url("v1/streams").build());
		return EngineStream.events((listener) -> this.streams.start("POST", path, STREAM_HEADERS, body, listener),
				request.attempt());
	}

	@Override
	public Flowable<GenerateEvent> resume(AttemptId attempt, int offset) {
		HttpUrl url = streamUrl(attempt).addQueryParameter("offset", Integer.toString(offset)).build();
		return EngineStream
			.events((listener) -> this.streams.start("GET", toPath(url), STREAM_HEADERS, NO_BYTES, listener), attempt);
	}

	private static String toPath(HttpUrl url) {
		String query = url.encodedQuery();
		return (query != null) ? url.encodedPath() + "?" + query : url.encodedPath();
	}

	@Override
	public void cancel(AttemptId attempt) {
		Request.Builder request = new Request.Builder().url(streamUrl(attempt).build())
			.delete(HttpExchange.oneShot(null, NO_BYTES));
		CANCELLATIONS.scheduleDirect(() -> this.exchange.send(request));
	}

	@Override
	public boolean moveCache(AttemptId attempt, BackendServerId target) {
		HttpUrl url = streamUrl(attempt).addPathSegment("move").build();
		byte[] body = Json.write(new WireMessages.CacheMoveRequest(target));
		HttpExchange.Outcome outcome = this.exchange
			.send(new Request.Builder().url(url).post(HttpExchange.oneShot(HttpExchange.JSON, body)));
		if (outcome instanceof HttpExchange.Answer answer && answer.status() == 200) {
			return Json.read(answer.body(), WireMessages.CacheMoveResponse.class)
				.map(WireMessages.CacheMoveResponse::moved)
				.orElse(false);
		}
		return false;
	}

	@Override
	public List<CacheEvent> cacheEvents(long afterSequence) {
		HttpUrl url = this.exchange.url("v1/cache-events")
			.addQueryParameter("after", Long.toString(afterSequence))
			.build();
		HttpExchange.Outcome outcome = this.exchange.send(get(url));
		if (outcome instanceof HttpExchange.Answer answer && answer.status() == 200) {
			return Json.readList(answer.body(), CacheEvent.class).orElse(List.of());
		}
		return List.of();
	}

	private HttpUrl.Builder streamUrl(AttemptId attempt) {
		return this.exchange.url("v1/streams").addPathSegment(attempt.value());
	}

	private Request.Builder post(String path, Object body) {
		return new Request.Builder().url(this.exchange.url(path).build())
			.post(HttpExchange.oneShot(HttpExchange.JSON, Json.write(body)));
	}

	private static Request.Builder get(HttpUrl url) {
		return new Request.Builder().url(url);
	}

}
