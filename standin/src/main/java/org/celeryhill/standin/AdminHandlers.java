package org.celeryhill.standin;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.undertow.server.HttpServerExchange;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.Execution;
import org.celeryhill.fake.FakeEngine;
import org.celeryhill.fake.FakePlainService;
import org.celeryhill.fake.Fault;
import org.celeryhill.http.HttpResponses;
import org.celeryhill.http.HttpServer;
import org.celeryhill.port.HostList;

/**
 * HTTP handlers of the admin server of the stand-ins: addresses, counters, faults, host
 * list and backend servers. Thread-safe.
 */
final class AdminHandlers {

	/** Stand-ins that the requests read and change. */
	private final StandinServers standins;

	AdminHandlers(StandinServers standins) {
		this.standins = standins;
	}

	void addRoutes(HttpServer.Builder builder) {
		builder.addExactPath("/admin/addresses",
				(exchange) -> HttpResponses.sendJson(exchange, 200, this.standins.addresses()));
		builder.addExactPath("/admin/counters",
				(exchange) -> HttpResponses.sendJson(exchange, 200, this.standins.counters()));
		builder.addPrefixPath("/admin/faults", HttpServer.blocking(this::handleFaults));
		builder.addPrefixPath("/admin/hosts", HttpServer.blocking(this::hosts));
		builder.addPrefixPath("/admin/servers", HttpServer.blocking(this::handleServers));
	}

	private void handleFaults(HttpServerExchange exchange) throws IOException {
		if (HttpExchanges.hasMethod(exchange, "DELETE")) {
			this.standins.faults().clear();
			sendDone(exchange);
			return;
		}
		String target = name(exchange);
		Optional<FaultSettings> settings = HttpExchanges.readJson(exchange, FaultSettings.class);
		if (settings.isEmpty()) {
			return;
		}
		if (target.isEmpty()) {
			HttpExchanges.sendBadRequest(exchange, "the path must name a target: /admin/faults/TARGET");
			return;
		}
		applyFaults(target, settings.get());
		sendDone(exchange);
	}

	private void applyFaults(String target, FaultSettings settings) {
		if (settings.delayMillis() != null) {
			this.standins.faults().setDelay(target, Duration.ofMillis(settings.delayMillis()));
		}
		if (settings.script() != null) {
			this.standins.faults().script(target, settings.script().toArray(new Fault[0]));
		}
		if (settings.probability() != null) {
			settings.probability()
				.forEach((fault, probability) -> this.standins.faults().setProbability(target, fault, probability));
		}
		if (settings.down() != null) {
			this.standins.faults().setDown(target, settings.down());
		}
	}

	private void hosts(HttpServerExchange exchange) throws IOException {
		String id = name(exchange);
		if (id.isEmpty()) {
			this.standins.hosts().setStale(Boolean.parseBoolean(HttpExchanges.queryParameter(exchange, "stale")));
			sendDone(exchange);
		}
		else if (HttpExchanges.hasMethod(exchange, "PUT")) {
			putHostEntry(exchange);
		}
		else if (HttpExchanges.hasMethod(exchange, "DELETE")) {
			this.standins.hosts().remove(BackendServerId.of(id));
			sendDone(exchange);
		}
		else {
			boolean isLeaving = Boolean.parseBoolean(HttpExchanges.queryParameter(exchange, "leaving"));
			sendDoneOrNotFound(exchange, this.standins.hosts().setLeaving(BackendServerId.of(id), isLeaving));
		}
	}

	private void putHostEntry(HttpServerExchange exchange) throws IOException {
		Optional<HostList.Entry> entry = HttpExchanges.readJson(exchange, HostList.Entry.class);
		if (entry.isPresent()) {
			this.standins.hosts().put(entry.get());
			sendDone(exchange);
		}
	}

	private void handleServers(HttpServerExchange exchange) throws IOException {
		String id = name(exchange);
		Optional<ServerSettings> settings = HttpExchanges.readJson(exchange, ServerSettings.class);
		if (settings.isEmpty() || id.isEmpty()) {
			sendDoneOrNotFound(exchange, false);
			return;
		}
		Optional<FakeEngine> engine = this.standins.engine(id);
		Optional<FakePlainService> plain = this.standins.plainServer(id);
		engine.ifPresent((found) -> settings.get().apply(found));
		plain.ifPresent((found) -> settings.get().apply(found));
		sendDoneOrNotFound(exchange, engine.isPresent() || plain.isPresent());
	}

	private static String name(HttpServerExchange exchange) {
		String path = exchange.getRelativePath();
		return path.startsWith("/") ? path.substring(1) : path;
	}

	private static void sendDoneOrNotFound(HttpServerExchange exchange, boolean isFound) {
		if (exchange.isResponseStarted()) {
			return;
		}
		if (isFound) {
			sendDone(exchange);
		}
		else {
			HttpResponses.sendError(exchange, 404, "not_found", "no such host", Execution.NOT_RUN);
		}
	}

	private static void sendDone(HttpServerExchange exchange) {
		HttpResponses.sendJson(exchange, 200, Map.of("done", true));
	}

	/**
	 * Faults of one target, as the JSON body of a request. Absent fields change nothing.
	 *
	 * @param script the faults of the next operations, one each, may be null
	 * @param delayMillis the delay of delayed effects and slow responses in ms, may be
	 * null
	 * @param probability the probability of each fault, may be null
	 * @param down whether the target is down, may be null
	 */
	record FaultSettings(List<Fault> script, Long delayMillis, Map<Fault, Double> probability, Boolean down) {

	}

	/**
	 * State of one backend server, as the JSON body of a request. Absent fields change
	 * nothing.
	 *
	 * @param leaving whether the server reports that it is leaving, may be null
	 * @param stopped true to stop an engine, false to restart it, may be null
	 * @param slowdown the factor on the step time of an engine, may be null
	 * @param callMillis the duration of a call of a plain service in ms, may be null
	 */
	record ServerSettings(Boolean leaving, Boolean stopped, Double slowdown, Long callMillis) {

		void apply(FakeEngine engine) {
			if (this.leaving != null) {
				engine.setLeaving(this.leaving);
			}
			if (this.stopped != null && this.stopped) {
				engine.stop();
			}
			else if (this.stopped != null) {
				engine.restart();
			}
			if (this.slowdown != null) {
				engine.setSlowdown(this.slowdown);
			}
		}

		void apply(FakePlainService service) {
			if (this.leaving != null) {
				service.setLeaving(this.leaving);
			}
			if (this.callMillis != null) {
				service.setCallTime(Duration.ofMillis(this.callMillis));
			}
		}

	}

}
