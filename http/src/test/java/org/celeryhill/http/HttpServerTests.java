package org.celeryhill.http;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.LogRecord;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.FencingToken;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.Region;
import org.celeryhill.base.ServiceId;
import org.celeryhill.port.EngineReport;
import org.celeryhill.port.HostList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link HttpServer}, of the JSON transfer of port messages, of
 * {@link SettingsChecks} and of the log format.
 */
class HttpServerTests {

	private final OkHttpClient client = new OkHttpClient();

	private HttpServer server;

	@AfterEach
	void stopServer() {
		this.client.dispatcher().executorService().shutdown();
		this.client.connectionPool().evictAll();
		this.server.stop(Duration.ofMillis(1));
	}

	// Guards against requests without a size limit, which could exhaust the memory of an
	// entry host.
	@Test
	void oversizedHeadAndBodyAreRefused() throws IOException {
		ServerSettings settings = ServerSettings.defaults().withMaxBodyBytes(100).withMaxHeaderBytes(1000);
		this.server = HttpServer.builder("test")
			.settings(settings)
			.addPrefixPath("/echo", HttpServer.blocking((exchange) -> {
				byte[] body = exchange.getInputStream().readAllBytes();
				HttpResponses.sendJson(exchange, 200, body.length);
			}))
			.start();
		assertThat(status(request("/echo").post(RequestBody.create(new byte[100])))).isEqualTo(200);
		assertThat(status(request("/echo").post(RequestBody.create(new byte[101])))).isNotEqualTo(200);
		assertThat(status(request("/echo").header("X-Large", "x".repeat(1200)))).isNotEqualTo(200);
	}

	// Guards against a stop that closes connections immediately and truncates running
	// responses, and against refused requests whose callers are not informed that they
	// did not run.
	@Test
	void stopWaitsForRunningRequestsAndRefusesNewOnes() throws Exception {
		CountDownLatch started = new CountDownLatch(1);
		CountDownLatch release = new CountDownLatch(1);
		this.server = HttpServer.builder("test").addExactPath("/slow", HttpServer.blocking((exchange) -> {
			started.countDown();
			release.await(5, TimeUnit.SECONDS);
			HttpResponses.sendJson(exchange, 200, "whole");
		})).start();
		CompletableFuture<Integer> running = CompletableFuture.supplyAsync(() -> status(request("/slow")));
		started.await(5, TimeUnit.SECONDS);
		CompletableFuture<Boolean> stop = CompletableFuture.supplyAsync(() -> this.server.stop(Duration.ofSeconds(5)));
		while (status(request("/readyz")) == 200) {
			Thread.sleep(5);
		}
		try (Response refused = this.client.newCall(request("/slow").build()).execute()) {
			assertThat(refused.code()).isEqualTo(503);
			assertThat(refused.header("X-Execution")).isEqualTo("not_run");
		}
		release.countDown();
		assertThat(running.get(5, TimeUnit.SECONDS)).isEqualTo(200);
		assertThat(stop.get(5, TimeUnit.SECONDS)).isTrue();
	}

	// Guards against operational endpoints that are missing or return a wrong status or
	// body.
	@Test
	void operationalEndpointsReportHealthReadinessMetricsAndState() throws IOException {
		PrometheusRegistry registry = new PrometheusRegistry();
		Counter.builder().name("requests_total").register(registry).inc(3);
		this.server = HttpServer.builder("test")
			.registry(registry)
			.readiness(() -> false)
			.dump(() -> Map.of("queue", 7))
			.start();
		assertThat(status(request("/healthz"))).isEqualTo(200);
		assertThat(status(request("/readyz"))).isEqualTo(503);
		assertThat(body(request("/metrics"))).contains("requests_total 3.0");
		assertThat(body(request("/admin/dump"))).isEqualTo("{\"queue\":7}");
		assertThat(body(request("/nowhere"))).contains("\"code\":\"not_found\"");
	}

	// Guards against fields that are lost in JSON: an engine without residents or without
	// its leaving flag would be treated as empty or available.
	@Test
	void reportHostListAndWeightSizesAreUnchangedByJsonTransfer() {
		EngineReport report = new EngineReport(BackendServerId.of("e"), "e#2", 9, 100, 10,
				List.of(new EngineReport.Resident(ModelId.of("o/m@1"), 50, EngineReport.ResidentState.READY)),
				List.of(AttemptId.of("c1")), new FencingToken(4), true, EngineReport.Role.DECODE, 1, 2, 3, 4, 5.5, 6.5,
				true);
		HostList.Entry entry = new HostList.Entry(BackendServerId.of("e"), HostList.Kind.ENGINE, ServiceId.of("s"),
				java.net.URI.create("http://127.0.0.1:1"), DataCentre.of("d"), Region.of("r"), true);
		Map<ModelId, Long> sizes = Map.of(ModelId.of("o/m@1"), 50L);
		this.server = HttpServer.builder("test")
			.addExactPath("/v1/report", (exchange) -> HttpResponses.sendJson(exchange, 200, report))
			.addExactPath("/v1/hosts",
					(exchange) -> HttpResponses.sendJson(exchange, 200, new WireMessages.HostEntries(List.of(entry))))
			.addExactPath("/v1/weights",
					(exchange) -> HttpResponses.sendJson(exchange, 200, new WireMessages.WeightSizes(sizes)))
			.start();
		ClientSettings settings = ClientSettings.defaults();
		assertThat(HttpEngine.create(report.engine(), this.server.uri(), this.client, settings).report())
			.contains(report);
		assertThat(HttpHostList.create(this.server.uri(), this.client, settings).read()).contains(List.of(entry));
		assertThat(HttpWeightStore.create(this.server.uri(), this.client, settings).sizes()).contains(sizes);
	}

	// Guards against reporting only the first invalid setting, which would force an
	// operator to restart the process once per error.
	@Test
	void allInvalidSettingsAreReportedWithTheirVariables() {
		SettingsChecks checks = SettingsChecks.create()
			.requireText("--host-id", "")
			.requireAddress("--address", "entry.example")
			.requireAddress("--address", "::1")
			.requirePort("--port", 70_000)
			.requirePositive("--grace", Duration.ZERO);
		assertThat(checks.isValid()).isFalse();
		assertThat(checks.findings()).hasSize(4);
		assertThat(checks.findings().get(0).message()).contains("CELERYHILL_HOST_ID");
		this.server = HttpServer.builder("test").start();
	}

	// Guards against log injection: a line break in a message would create a forged
	// second log line.
	@Test
	void logRecordStaysOnOneLine() {
		LogRecord entry = new LogRecord(Level.INFO, "first\nevent=forged");
		entry.setLoggerName("test");
		entry.setThrown(new IOException("broken\npipe"));
		String line = new LogSetup.KeyValueFormatter().format(entry);
		assertThat(line.strip()).doesNotContain("\n").contains("text=\"first\\nevent=forged\"");
		this.server = HttpServer.builder("test").start();
	}

	private Request.Builder request(String path) {
		return new Request.Builder().url(this.server.uri() + path);
	}

	private int status(Request.Builder request) {
		try (Response response = this.client.newCall(request.build()).execute()) {
			return response.code();
		}
		catch (IOException ex) {
			return -1;
		}
	}

	private String body(Request.Builder request) throws IOException {
		try (Response response = this.client.newCall(request.build()).execute()) {
			return Optional.ofNullable(response.body()).orElseThrow().string();
		}
	}

}
