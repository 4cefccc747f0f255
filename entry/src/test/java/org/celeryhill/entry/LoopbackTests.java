package org.celeryhill.entry;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.celeryhill.base.RevisionDocument;
import org.celeryhill.standin.StandinMain;
import org.celeryhill.state.AttemptIds;
import org.celeryhill.state.ConditionalWriter;
import org.celeryhill.state.ConfigurationStore;
import org.celeryhill.state.RetryPolicy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of a daemon with its HTTP adapters against the stand-in servers on loopback
 * ports.
 */
class LoopbackTests {

	@TempDir
	private Path directory;

	private final HttpClient client = HttpClient.newHttpClient();

	private Map<String, URI> addresses;

	private EntryDaemon daemon;

	private TestCaller caller;

	@BeforeEach
	void start() throws IOException {
		this.addresses = startStandins(this.directory.resolve("addresses"));
		for (String engine : List.of("beater-llm-1", "beater-llm-2")) {
			post(this.addresses.get(engine).resolve("/v1/commands"),
					"{\"attempt\":\"l\",\"engine\":\"" + engine + "\",\"action\":\"LOAD_MODEL\",\"model\":\""
							+ TestEnvironment.MODEL + "\",\"bytes\":1000,\"token\":1}");
		}
		EntrySettings settings = CommandLine.populateCommand(new EntrySettings(), "--host-id=entry-1",
				"--data-centre=dc-1", "--region=bc-lower", "--peer-port=0", "--api-port=0", "--admin-port=0",
				"--balancer-delay=PT0S", "--event-id-key=0123456789abcdef",
				"--table-url=" + this.addresses.get("table"), "--object-url=" + this.addresses.get("object"),
				"--host-list-url=" + this.addresses.get("hosts"), "--head-period=PT0.2S", "--report-period=PT0.1S");
		assertThat(settings.validate().findings()).isEmpty();
		DaemonDependencies dependencies = EntryMain.createDependencies(settings);
		acceptConfiguration(dependencies);
		this.daemon = new EntryDaemon(settings, dependencies);
		this.daemon.start();
		this.caller = new TestCaller(this.daemon, TestEnvironment.API_KEY_A);
		TestEnvironment.await(() -> this.daemon.isReady()
				&& this.caller.post("/v1/completions", TestCaller.body(1, false)).statusCode() == 200);
	}

	@AfterEach
	void stop() {
		this.daemon.close();
	}

	private static Map<String, URI> startStandins(Path file) throws IOException {
		Thread thread = new Thread(() -> new CommandLine(new StandinMain()).execute("--engines=2", "--plain-servers=2",
				"--step-micros=2000", "--report-lag-ms=50", "--addresses-file=" + file,
				"--weight=" + TestEnvironment.MODEL + "=1000", "--weight-loads-per-second=50"));
		thread.setDaemon(true);
		thread.start();
		TestEnvironment.await(() -> Files.exists(file));
		Properties lines = new Properties();
		lines.load(Files.newBufferedReader(file));
		Map<String, URI> addresses = new HashMap<>();
		lines.forEach((name, uri) -> addresses.put((String) name, URI.create((String) uri)));
		return addresses;
	}

	private void acceptConfiguration(DaemonDependencies dependencies) throws IOException {
		Map<String, String> files = new TreeMap<>();
		try (Stream<Path> paths = Files.list(Path.of("..", "examples", "demo"))) {
			for (Path path : paths.toList()) {
				files.put(path.getFileName().toString(), Files.readString(path));
			}
		}
		ConditionalWriter writer = ConditionalWriter.create(dependencies.table(), AttemptIds.random(),
				RetryPolicy.immediate());
		ConfigurationStore.create(writer, dependencies.objects(), dependencies.timer(), (document) -> List.of())
			.propose(new RevisionDocument(0, files), 0, "test");
	}

	private void post(URI address, String body) {
		try {
			HttpResponse<String> response = this.client.send(
					HttpRequest.newBuilder(address).POST(HttpRequest.BodyPublishers.ofString(body)).build(),
					HttpResponse.BodyHandlers.ofString());
			assertThat(response.statusCode()).as(response.body()).isBetween(200, 299);
		}
		catch (IOException | InterruptedException ex) {
			throw new AssertionError(ex);
		}
	}

	private void scriptFault(String target, String fault) {
		post(this.addresses.get("admin").resolve("/admin/faults/" + target), "{\"script\":[\"" + fault + "\"]}");
	}

	/** Guards against HTTP adapters that lose, duplicate or reorder tokens. */
	@Test
	void streamsOverHttpAreComplete() {
		for (String fault : List.of("LOST_ANSWER", "DUPLICATE", "REORDER", "LOST_REQUEST")) {
			scriptFault("beater-llm-1/stream", fault);
			scriptFault("beater-llm-2/stream", fault);
			TestCaller.EventStream stream = this.caller.openStream(TestCaller.body(40, true)).readAll();
			assertThat(stream.text()).as(fault).isEqualTo(TestCaller.expectedText(40));
			assertThat(stream.isComplete()).as(fault).isTrue();
		}
	}

	/**
	 * Guards against a call that runs twice, or is reported as not run, when its response
	 * is lost.
	 */
	@Test
	void lostResponseOverHttpReportsUnknown() {
		scriptFault("dispatch-1", "LOST_ANSWER");
		scriptFault("dispatch-2", "LOST_ANSWER");
		String path = "/v1/services/dispatch/bookings";
		HttpResponse<String> lost = this.caller.post(path, "{}", "Idempotency-Key", "w1");
		assertThat(TestCaller.readError(lost).path("execution").asText()).isEqualTo("unknown");
		HttpResponse<String> other = this.caller.post(path, "{}", "Idempotency-Key", "w2");
		HttpResponse<String> again = this.caller.post(path, "{}", "Idempotency-Key", "w2");
		assertThat(List.of(other.statusCode(), again.statusCode())).doesNotContain(500);
		assertThat(again.body()).contains(TestCaller.parseJson(other.body()).has("error") ? "unknown" : other.body());
	}

}
