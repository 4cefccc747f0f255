package org.celeryhill.standin;

import java.io.IOException;
import java.util.Optional;

import io.reactivex.rxjava3.core.Flowable;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import org.celeryhill.base.AttemptId;
import org.celeryhill.base.Execution;
import org.celeryhill.fake.FakeEngine;
import org.celeryhill.http.HttpResponses;
import org.celeryhill.http.HttpServer;
import org.celeryhill.http.Json;
import org.celeryhill.http.WireMessages;
import org.celeryhill.port.Engine;
import org.celeryhill.port.EngineCommand;
import org.celeryhill.port.EngineReport;
import org.celeryhill.port.GenerateEvent;
import org.celeryhill.port.GenerateRequest;

/**
 * HTTP handlers of a stand-in model engine. Thread-safe.
 */
final class EngineHandlers {

	/** Engine that handles the requests. */
	private final FakeEngine engine;

	private EngineHandlers(FakeEngine engine) {
		this.engine = engine;
	}

	static void addRoutes(HttpServer.Builder builder, FakeEngine engine) {
		EngineHandlers handlers = new EngineHandlers(engine);
		builder.addExactPath("/v1/report", HttpServer.blocking(handlers::sendReport));
		builder.addExactPath("/v1/commands", HttpServer.blocking(handlers::handleCommand));
		builder.addExactPath("/v1/cache-events", HttpServer.blocking(handlers::sendCacheEvents));
		builder.addExactPath("/v1/streams", handlers::startStream);
		builder.addPrefixPath("/v1/streams", handlers::handleStream);
	}

	private void sendReport(HttpServerExchange exchange) {
		Optional<EngineReport> report = this.engine.report();
		if (report.isPresent()) {
			HttpResponses.sendJson(exchange, 200, report.get());
		}
		else {
			HttpExchanges.dropConnection(exchange);
		}
	}

	private void handleCommand(HttpServerExchange exchange) throws IOException {
		Optional<EngineCommand> command = HttpExchanges.readJson(exchange, EngineCommand.class);
		if (command.isEmpty()) {
			return;
		}
		Engine.CommandResult result = this.engine.send(command.get());
		switch (result) {
			case ACCEPTED -> HttpResponses.sendJson(exchange, 202, java.util.Map.of("accepted", true));
			case REFUSED_TOKEN ->
				HttpResponses.sendError(exchange, 409, "stale_token", "the fencing token is old", Execution.NOT_RUN);
			case REFUSED ->
				HttpResponses.sendError(exchange, 422, "refused", "the command was refused", Execution.NOT_RUN);
			case NOT_SENT -> HttpExchanges.sendNotRun(exchange, "engine is down");
			default -> HttpExchanges.dropConnection(exchange);
		}
	}

	private void sendCacheEvents(HttpServerExchange exchange) {
		String after = HttpExchanges.queryParameter(exchange, "after");
		HttpResponses.sendJson(exchange, 200, this.engine.cacheEvents(after.isEmpty() ? 0 : Long.parseLong(after)));
	}

	private void startStream(HttpServerExchange exchange) {
		exchange.getRequestReceiver().receiveFullBytes((received, bytes) -> {
			Optional<GenerateRequest> request = Json.read(bytes, GenerateRequest.class);
			if (request.isPresent()) {
				sendEvents(received, this.engine.generate(request.get()));
			}
			else {
				HttpExchanges.sendBadRequest(received, "the body is not a GenerateRequest in JSON");
			}
		});
	}

	private void handleStream(HttpServerExchange exchange) throws Exception {
		String[] parts = exchange.getRelativePath().substring(1).split("/");
		AttemptId attempt = AttemptId.of(parts[0]);
		if (HttpExchanges.hasMethod(exchange, "DELETE")) {
			this.engine.cancel(attempt);
			HttpResponses.sendJson(exchange, 202, java.util.Map.of("cancelled", true));
		}
		else if (HttpExchanges.hasMethod(exchange, "POST")) {
			HttpServer.blocking((blocking) -> handleCacheMove(blocking, attempt)).handleRequest(exchange);
		}
		else {
			String offset = HttpExchanges.queryParameter(exchange, "offset");
			sendEvents(exchange, this.engine.resume(attempt, offset.isEmpty() ? 0 : Integer.parseInt(offset)));
		}
	}

	private void handleCacheMove(HttpServerExchange exchange, AttemptId attempt) throws IOException {
		Optional<WireMessages.CacheMove> body = HttpExchanges.readJson(exchange, WireMessages.CacheMove.class);
		if (body.isPresent()) {
			boolean isMoved = this.engine.moveCache(attempt, body.get().target());
			HttpResponses.sendJson(exchange, 200, new WireMessages.CacheMoveResponse(isMoved));
		}
	}

	private static void sendEvents(HttpServerExchange exchange, Flowable<GenerateEvent> events) {
		exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-store");
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> events.subscribe(new EventStreamWriter(exchange)));
	}

}
