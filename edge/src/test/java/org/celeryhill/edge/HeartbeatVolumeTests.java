package org.celeryhill.edge;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.celeryhill.base.AttemptId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.FencingToken;
import org.celeryhill.base.HostId;
import org.celeryhill.base.KnownRedCondition;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.SystemTimerService;
import org.celeryhill.base.UsageTotals;
import org.celeryhill.forward.RevisionMapping;
import org.celeryhill.platform.FakePlatformService;
import org.celeryhill.platform.JsonHttpClient;
import org.celeryhill.platform.PlatformTables;
import org.celeryhill.platform.StoreClient;
import org.celeryhill.platform.StoreTableService;
import org.celeryhill.platform.TestEventLoop;
import org.celeryhill.state.ConditionalWriter;
import org.celeryhill.state.LeaseName;
import org.celeryhill.state.LeaseRecord;
import org.celeryhill.state.LeaseStore;
import org.celeryhill.state.RetryPolicy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.ExtendWith;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the size of the heartbeats between hosts. All heartbeats pass the link of the
 * lease holder, which on the smallest hosts of the 88 carries 7 Mbit/s.
 */
@Timeout(60)
@ExtendWith(KnownRedCondition.class)
class HeartbeatVolumeTests {

	/**
	 * Size of a message in bytes at which the 3.3 heartbeats a second of a host stay
	 * within the 2 KB/s that control may cost a daemon.
	 */
	private static final int MAX_BYTES = 600;

	private static final int HOSTS = 88;

	private static final double HEARTBEATS_PER_SECOND = 1 / 0.3;

	private static final double LINK_BITS_PER_SECOND = 7e6;

	private static final int ENGINES = 42;

	private static final int CHANGED_ROWS = 6;

	private static final int MODELS = 60;

	private DaemonFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new DaemonFixture();
		this.fixture.storeConfiguration(3, "/p/");
	}

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	// Guards against a lease holder whose link is saturated by its responses, so that it
	// cannot renew the lease and nobody loads models and adapters.
	@Test
	void responseDoesNotGrowWithNumberOfHosts() throws Exception {
		EdgeSettings settings = this.fixture.settings("h0");
		this.fixture.start(settings);
		DaemonFixture.awaitReady(settings);
		String response = "";
		for (int round = 0; round < 3; round++) {
			for (int i = 1; i < HOSTS; i++) {
				response = sendHeartbeat(settings.peer, i, round);
			}
		}
		JsonNode body = JsonHttpClient.MAPPER.readTree(response);
		assertThat(body.path("isHolder").asBoolean()).isTrue();
		assertThat(response.length()).isLessThan(MAX_BYTES);
	}

	// Guards against a holder whose link is saturated by the rows that it passes on, as
	// each
	// load of an adapter changes the row of an engine and each row goes to all hosts.
	@Test
	void responseWithChangedRowsFitsLink() throws Exception {
		EdgeSettings settings = this.fixture.settings("h0");
		putEngineRows(ENGINES, 0);
		this.fixture.start(settings);
		DaemonFixture.awaitReady(settings);
		long version = awaitRows(settings, ENGINES);
		putEngineRows(CHANGED_ROWS, 1);
		String response = "";
		long end = System.nanoTime() + 5_000_000_000L;
		while (rowCount(response) < CHANGED_ROWS && System.nanoTime() < end) {
			response = sendHeartbeat(settings.peer, 1, 1, version);
		}
		assertThat(rowCount(response)).isEqualTo(CHANGED_ROWS);
		assertThat(HOSTS * HEARTBEATS_PER_SECOND * response.length() * 8).isLessThan(LINK_BITS_PER_SECOND / 2);
	}

	private void putEngineRows(int count, int adapter) {
		for (int i = 0; i < count; i++) {
			StringBuilder adapters = new StringBuilder();
			for (int j = 0; j < 8; j++) {
				adapters.append((j > 0) ? "," : "").append("\"a").append(i + j + adapter).append('"');
			}
			this.fixture.store.put(PlatformTables.BACKEND_SERVERS_TABLE,
					"i-" + Integer.toHexString(i * 7919 + 1_000_000),
					("{'service':'s','address':'10.1.64." + i + ":8583','zone':'bc-lower-a','version':1,'slots':64,"
							+ "'state':'ready','cold_remaining_ms':0,'sequence':" + (3 + adapter)
							+ ",'born':1775435849361,'models':[{'name':'gole" + i + "12056','version':1,'adapters':["
							+ adapters.toString().replace('"', '\'') + "]},{'name':'bora" + i
							+ "84665','version':1,'adapters':[]}],'available':{'in_memory':['huvo85962a','goxa90889d'],"
							+ "'on_disk':['lolo29b468','lozi20c387','mika892612','boti275584']}}")
						.replace('\'', '"'));
		}
	}

	private static long awaitRows(EdgeSettings settings, int count) throws Exception {
		long end = System.nanoTime() + 5_000_000_000L;
		while (System.nanoTime() < end) {
			String response = sendHeartbeat(settings.peer, 1, 1, -1);
			if (rowCount(response) == count) {
				return JsonHttpClient.MAPPER.readTree(response).path("store").path("version").asLong();
			}
			Thread.sleep(20);
		}
		throw new AssertionError("the holder does not know the rows");
	}

	private static int rowCount(String response) throws IOException {
		JsonNode store = JsonHttpClient.MAPPER.readTree(response.isEmpty() ? "{}" : response).path("store");
		return store.isObject() ? PeerMessages.decodeRows(store).rows().size() : 0;
	}

	private static String sendHeartbeat(String address, int number, int round) throws IOException {
		return sendHeartbeat(address, number, round, Integer.MAX_VALUE);
	}

	private static String sendHeartbeat(String address, int number, int round, long serverVersion) throws IOException {
		ObjectNode body = JsonHttpClient.MAPPER.createObjectNode();
		body.put("address", "10.0.0." + number + ":8580");
		body.put("version", 3);
		body.put("servers", serverVersion);
		body.set("usage", PeerMessages.encodeUsage(new UsageTotals(HostId.of("edge-host-" + number),
				DataCentre.of("here"), "00112233", round + 1,
				Map.of(new UsageTotals.Key(RevisionMapping.ORGANISATION, PriorityClass.NORMAL), 100_000L * round))));
		String text = body.toString();
		String response = DaemonFixture.exchange(address, "POST /heartbeat HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
				+ "Content-Length: " + text.length() + "\r\n\r\n" + text);
		return response.substring(response.indexOf("\r\n\r\n") + 4);
	}

	// Guards against a holder whose link is saturated by a new configuration that it
	// sends
	// to all hosts at once, though they can read it from the store.
	@Test
	void responseAnnouncesConfigurationOnly() throws Exception {
		EdgeSettings settings = this.fixture.settings("h0");
		this.fixture.start(settings);
		DaemonFixture.awaitReady(settings);
		this.fixture.storeConfiguration(4, "/" + "p".repeat(MAX_BYTES) + "/");
		JsonNode response = JsonHttpClient.MAPPER.createObjectNode();
		long end = System.nanoTime() + 5_000_000_000L;
		while (response.path("configurationVersion").asLong() < 4 && System.nanoTime() < end) {
			response = JsonHttpClient.MAPPER.readTree(sendHeartbeat(settings.peer, 1, 1));
		}
		assertThat(response.path("configurationVersion").asLong()).isEqualTo(4);
		assertThat(response.toString().length()).isLessThan(MAX_BYTES);
	}

	// Guards against hosts that saturate the link of the lease holder, as they repeat the
	// demand for all models in each heartbeat.
	@Test
	void heartbeatContainsOnlyChangedDemand() throws Exception {
		try (ScriptedHolder holder = new ScriptedHolder()) {
			requestModels(startFollower(holder));
			holder.await(4);
			holder.bodies.clear();
			holder.await(4);
			assertThat(holder.bodies).allSatisfy((body) -> assertThat(body.length()).isLessThan(MAX_BYTES));
		}
	}

	private EdgeSettings startFollower(ScriptedHolder holder) throws Exception {
		acquireLease(holder);
		EdgeSettings settings = this.fixture.settings("h1");
		this.fixture.start(settings);
		DaemonFixture.awaitReady(settings);
		return settings;
	}

	private void acquireLease(ScriptedHolder holder) throws Exception {
		try (TestEventLoop loop = new TestEventLoop()) {
			StoreTableService tables = StoreTableService
				.create(StoreClient.create(loop.httpClient(), this.fixture.store.address()));
			ConditionalWriter writer = ConditionalWriter.create(tables, () -> AttemptId.of("w-1"),
					RetryPolicy.immediate());
			LeaseStore leases = LeaseStore.create(writer, SystemTimerService.create(), HostId.of(holder.address()),
					Duration.ofSeconds(60));
			holder.record = ((LeaseStore.Granted) leases.acquire(LeaseName.of("placement"))).written();
		}
	}

	private static void requestModels(EdgeSettings settings) throws IOException {
		for (int i = 0; i < MODELS; i++) {
			DaemonFixture.exchange(settings.front, FakePlatformService.request("/p/x", "a" + i)
				.replace("Connection: close", "X-Model: model-" + i + "\r\nConnection: close"));
		}
	}

	// Guards against a new lease holder that places models without knowing the demand
	// that hosts reported to the one before it.
	@Test
	void firstHeartbeatToHolderContainsWholeDemand() throws Exception {
		try (ScriptedHolder holder = new ScriptedHolder(); ScriptedHolder next = new ScriptedHolder()) {
			requestModels(startFollower(holder));
			holder.await(4);
			holder.handOver(next);
			next.await(1);
			JsonNode demand = JsonHttpClient.MAPPER.readTree(next.bodies.get(0)).path("demand");
			assertThat(demand).hasSize(MODELS);
		}
	}

	/**
	 * Lease holder that records the heartbeats that it receives.
	 */
	private static final class ScriptedHolder implements AutoCloseable {

		private final List<String> bodies = new CopyOnWriteArrayList<>();

		private final HttpServer server;

		private volatile LeaseRecord record;

		ScriptedHolder() throws IOException {
			this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
			this.record = new LeaseRecord(HostId.of(address()), AttemptId.of("s-1"), new FencingToken(7), 1, 60_000,
					false);
			this.server.createContext("/", this::respond);
			this.server.start();
		}

		private void respond(HttpExchange exchange) throws IOException {
			this.bodies.add(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
			this.record = this.record.withRenewal();
			ObjectNode body = JsonHttpClient.MAPPER.createObjectNode()
				.put("isHolder", true)
				.put("holder", this.record.holder().value())
				.put("lease", this.record.toText());
			byte[] bytes = JsonHttpClient.MAPPER.writeValueAsBytes(body);
			exchange.sendResponseHeaders(200, bytes.length);
			exchange.getResponseBody().write(bytes);
			exchange.close();
		}

		String address() {
			return "127.0.0.1:" + this.server.getAddress().getPort();
		}

		void handOver(ScriptedHolder next) {
			this.record = next.record;
		}

		void await(int count) throws InterruptedException {
			long end = System.nanoTime() + 10_000_000_000L;
			while (this.bodies.size() < count && System.nanoTime() < end) {
				Thread.sleep(20);
			}
			assertThat(this.bodies.size()).isGreaterThanOrEqualTo(count);
		}

		@Override
		public void close() {
			this.server.stop(0);
		}

	}

}
