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
import org.celeryhill.http.HttpErrors;
import org.celeryhill.http.HttpServerKit;
import org.celeryhill.port.HostList;

/**
 * Admin endpoint of the stand-ins: faults, counters, host list, engines. Thread-safe.
 */
final class AdminHandlers {

	/** Stand-ins that are administered. */
	private final Standins standins;

	AdminHandlers(Standins standins) {
		this.standins = standins;
	}

	void addTo(HttpServerKit.Builder builder) {
		builder.exact("/admin/addresses", (exchange) -> HttpErrors.sendJson(exchange, 200, this.standins.addresses()));
		builder.exact("/admin/counters", (exchange) -> HttpErrors.sendJson(exchange, 200, this.standins.counters()));
		builder.prefix("/admin/faults", HttpServerKit.blocking(this::faults));
		builder.prefix("/admin/hosts", HttpServerKit.blocking(this::hosts));
		builder.prefix("/admin/servers", HttpServerKit.blocking(this::servers));
	}

	private void faults(HttpServerExchange exchange) throws IOException {
		if (Exchanges.isMethod(exchange, "DELETE")) {
			this.standins.faults().clear();
			sendDone(exchange);
			return;
		}
		String target = name(exchange);
		Optional<FaultSettings> settings = Exchanges.json(exchange, FaultSettings.class);
		if (settings.isEmpty()) {
			return;
		}
		if (target.isEmpty()) {
			Exchanges.sendBadRequest(exchange, "the path must name a target: /admin/faults/TARGET");
			return;
		}
		apply(target, settings.get());
		sendDone(exchange);
	}

	private void apply(String target, FaultSettings settings) {
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
			this.standins.hosts().setStale(Boolean.parseBoolean(Exchanges.query(exchange, "stale")));
			sendDone(exchange);
		}
		else if (Exchanges.isMethod(exchange, "PUT")) {
			putHost(exchange);
		}
		else if (Exchanges.isMethod(exchange, "DELETE")) {
			this.standins.hosts().remove(BackendServerId.of(id));
			sendDone(exchange);
		}
		else {
			boolean isLeaving = Boolean.parseBoolean(Exchanges.query(exchange, "leaving"));
			sendFound(exchange, this.standins.hosts().setLeaving(BackendServerId.of(id), isLeaving));
		}
	}

	private void putHost(HttpServerExchange exchange) throws IOException {
		Optional<HostList.Entry> entry = Exchanges.json(exchange, HostList.Entry.class);
		if (entry.isPresent()) {
			this.standins.hosts().put(entry.get());
			sendDone(exchange);
		}
	}

	private void servers(HttpServerExchange exchange) throws IOException {
		String id = name(exchange);
		Optional<ServerSettings> settings = Exchanges.json(exchange, ServerSettings.class);
		if (settings.isEmpty() || id.isEmpty()) {
			sendFound(exchange, false);
			return;
		}
		Optional<FakeEngine> engine = this.standins.engine(id);
		Optional<FakePlainService> plain = this.standins.plainServer(id);
		engine.ifPresent((found) -> settings.get().apply(found));
		plain.ifPresent((found) -> settings.get().apply(found));
		sendFound(exchange, engine.isPresent() || plain.isPresent());
	}

	private static String name(HttpServerExchange exchange) {
		String path = exchange.getRelativePath();
		return path.startsWith("/") ? path.substring(1) : path;
	}

	private static void sendFound(HttpServerExchange exchange, boolean isFound) {
		if (exchange.isResponseStarted()) {
			return;
		}
		if (isFound) {
			sendDone(exchange);
		}
		else {
			HttpErrors.send(exchange, 404, "not_found", "no such host", Execution.NOT_RUN);
		}
	}

	private static void sendDone(HttpServerExchange exchange) {
		HttpErrors.sendJson(exchange, 200, Map.of("done", true));
	}

	/**
	 * Faults of one target; fields that are absent change nothing.
	 *
	 * @param script faults of the next exchanges, may be null
	 * @param delayMillis delay of late effects and slow answers in ms, may be null
	 * @param probability probability by fault, may be null
	 * @param down whether the target is down, may be null
	 */
	record FaultSettings(List<Fault> script, Long delayMillis, Map<Fault, Double> probability, Boolean down) {

	}

	/**
	 * State of one backend server; fields that are absent change nothing.
	 *
	 * @param leaving whether the server's own reports say that it leaves, may be null
	 * @param stopped true to stop an engine, false to restart it, may be null
	 * @param slowdown factor on the step time of an engine, may be null
	 * @param callMillis time of a call of a plain service in ms, may be null
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
