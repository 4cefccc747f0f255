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
 * Client of a model engine over HTTP. Streams are received as server-sent events; the
 * caller must enforce timeouts between events. Thread-safe.
 */
public final class HttpEngine implements Engine {

	/** Error code of a 404 response for a stream that the engine does not know. */
	static final String UNKNOWN_STREAM = "unknown_stream";

	/** Error code of a 409 response to a command with an outdated fencing token. */
	static final String STALE_TOKEN = "stale_token";

	/** Scheduler that sends cancel requests, so that {@link #cancel} does not block. */
	private static final Scheduler CANCEL_SCHEDULER = Schedulers.io();

	/** Headers of requests that start or resume a stream. */
	private static final Map<String, String> STREAM_HEADERS = Map.of("Accept", GenerateEventCodec.CONTENT_TYPE,
			"Content-Type", "application/json");

	private static final byte[] EMPTY_BODY = new byte[0];

	private final BackendServerId id;

	private final HttpRequestSender requestSender;

	/** Client for streams, which have no response timeout. */
	private final StreamClient streamClient;

	private HttpEngine(BackendServerId id, HttpRequestSender requestSender, StreamClient streamClient) {
		this.id = id;
		this.requestSender = requestSender;
		this.streamClient = streamClient;
	}

	/**
	 * Returns a client of an engine that reads streams on the I/O threads of
	 * {@link IoWorkers#shared()}.
	 * @param id the id of the engine, not null
	 * @param base the address of the engine, not null
	 * @param client the shared client for all requests except streams, not null
	 * @param settings the timeouts and size limits, not null
	 * @return the client, never null
	 */
	public static HttpEngine create(BackendServerId id, URI base, OkHttpClient client, ClientSettings settings) {
		return create(id, base, client, settings, IoWorkers.shared());
	}

	/**
	 * Returns a client of an engine.
	 * @param id the id of the engine, not null
	 * @param base the address of the engine, not null
	 * @param client the shared client for all requests except streams, not null
	 * @param settings the timeouts and size limits, not null
	 * @param worker the worker whose I/O threads read the streams, not null
	 * @return the client, never null
	 */
	public static HttpEngine create(BackendServerId id, URI base, OkHttpClient client, ClientSettings settings,
			XnioWorker worker) {
		return new HttpEngine(id, HttpRequestSender.create(base, client, settings),
				StreamClient.create(base, worker, settings.connectTimeout()));
	}

	@Override
	public BackendServerId id() {
		return this.id;
	}

	@Override
	public Optional<EngineReport> report() {
		HttpRequestSender.Outcome outcome = this.requestSender
			.send(createGetRequest(this.requestSender.urlBuilder("v1/report").build()));
		if (outcome instanceof HttpRequestSender.CompleteResponse response && response.status() == 200) {
			return Json.read(response.body(), EngineReport.class);
		}
		return Optional.empty();
	}

	@Override
	public CommandResult send(EngineCommand command) {
		HttpRequestSender.Outcome outcome = this.requestSender.send(createPostRequest("v1/commands", command));
		if (outcome instanceof HttpRequestSender.NotSent) {
			return CommandResult.NOT_SENT;
		}
		if (!(outcome instanceof HttpRequestSender.CompleteResponse response)) {
			return CommandResult.UNKNOWN;
		}
		return toCommandResult(response);
	}

	private static CommandResult toCommandResult(HttpRequestSender.CompleteResponse response) {
		if (response.status() == 202) {
			return CommandResult.ACCEPTED;
		}
		if (response.status() == 409 && response.hasErrorCode(STALE_TOKEN)) {
			return CommandResult.REFUSED_TOKEN;
		}
		boolean isRefused = response.status() == 422 || response.isNotRun();
		return isRefused ? CommandResult.REFUSED : CommandResult.UNKNOWN;
	}

	@Override
	public Flowable<GenerateEvent> generate(GenerateRequest request) {
		byte[] body = Json.write(request);
		String path = toPathAndQuery(this.requestSender.urlBuilder("v1/streams").build());
		return EngineStream.toFlowable(
				(listener) -> this.streamClient.start("POST", path, STREAM_HEADERS, body, listener), request.attempt());
	}

	@Override
	public Flowable<GenerateEvent> resume(AttemptId attempt, int offset) {
		HttpUrl url = streamUrl(attempt).addQueryParameter("offset", Integer.toString(offset)).build();
		return EngineStream.toFlowable(
				(listener) -> this.streamClient.start("GET", toPathAndQuery(url), STREAM_HEADERS, EMPTY_BODY, listener),
				attempt);
	}

	private static String toPathAndQuery(HttpUrl url) {
		String query = url.encodedQuery();
		return (query != null) ? url.encodedPath() + "?" + query : url.encodedPath();
	}

	@Override
	public void cancel(AttemptId attempt) {
		Request.Builder request = new Request.Builder().url(streamUrl(attempt).build())
			.delete(HttpRequestSender.oneShotBody(null, EMPTY_BODY));
		CANCEL_SCHEDULER.scheduleDirect(() -> this.requestSender.send(request));
	}

	@Override
	public boolean moveCache(AttemptId attempt, BackendServerId target) {
		HttpUrl url = streamUrl(attempt).addPathSegment("move").build();
		byte[] body = Json.write(new WireMessages.CacheMove(target));
		HttpRequestSender.Outcome outcome = this.requestSender
			.send(new Request.Builder().url(url).post(HttpRequestSender.oneShotBody(HttpRequestSender.JSON, body)));
		if (outcome instanceof HttpRequestSender.CompleteResponse response && response.status() == 200) {
			return Json.read(response.body(), WireMessages.CacheMoveResponse.class)
				.map(WireMessages.CacheMoveResponse::moved)
				.orElse(false);
		}
		return false;
	}

	@Override
	public List<CacheEvent> cacheEvents(long afterSequence) {
		HttpUrl url = this.requestSender.urlBuilder("v1/cache-events")
			.addQueryParameter("after", Long.toString(afterSequence))
			.build();
		HttpRequestSender.Outcome outcome = this.requestSender.send(createGetRequest(url));
		if (outcome instanceof HttpRequestSender.CompleteResponse response && response.status() == 200) {
			return Json.readList(response.body(), CacheEvent.class).orElse(List.of());
		}
		return List.of();
	}

	private HttpUrl.Builder streamUrl(AttemptId attempt) {
		return this.requestSender.urlBuilder("v1/streams").addPathSegment(attempt.value());
	}

	private Request.Builder createPostRequest(String path, Object body) {
		return new Request.Builder().url(this.requestSender.urlBuilder(path).build())
			.post(HttpRequestSender.oneShotBody(HttpRequestSender.JSON, Json.write(body)));
	}

	private static Request.Builder createGetRequest(HttpUrl url) {
		return new Request.Builder().url(url);
	}

}
