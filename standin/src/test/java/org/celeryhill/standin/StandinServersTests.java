package org.celeryhill.standin;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import okhttp3.OkHttpClient;
import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.fake.FakeTableService;
import org.celeryhill.fake.FakeTokens;
import org.celeryhill.fake.Fault;
import org.celeryhill.http.ClientSettings;
import org.celeryhill.http.HttpEngine;
import org.celeryhill.http.HttpPlainService;
import org.celeryhill.http.HttpTableService;
import org.celeryhill.port.GenerateEvent;
import org.celeryhill.port.GenerateRequest;
import org.celeryhill.port.PlainService;
import org.celeryhill.port.RowKey;
import org.celeryhill.port.RowWrite;
import org.celeryhill.port.TableService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a fault of a stand-in has the same result over HTTP as in process. Otherwise
 * tests of the HTTP clients could pass although the clients map failures wrongly.
 */
class StandinServersTests {

	/** Timeouts long enough that a busy machine does not exceed them. */
	private static final ClientSettings SETTINGS = ClientSettings.defaults()
		.withConnectTimeout(Duration.ofSeconds(20))
		.withResponseTimeout(Duration.ofSeconds(20));

	/** HTTP client of the test. */
	private final OkHttpClient client = new OkHttpClient();

	/** Running stand-ins. */
	private StandinServers standins;

	@BeforeEach
	void startServers() {
		StandinOptions options = CommandLine.populateCommand(new StandinOptions(), "--engines", "1", "--plain-servers",
				"1", "--step-micros", "1000");
		this.standins = StandinServers.start(options);
	}

	@AfterEach
	void stopServers() {
		this.standins.stop();
		this.client.dispatcher().executorService().shutdown();
		this.client.connectionPool().evictAll();
	}

	// Guards against a wrong mapping of table faults: a write whose response is lost
	// takes effect but has an unknown outcome for the client, and a write to a service
	// that is down is reported as not written.
	@Test
	void tableFaultsMapToNotWrittenAndUnknown() {
		TableService table = HttpTableService.create(this.standins.addresses().get("table"), this.client, SETTINGS);
		RowKey key = RowKey.of("claim", "mill-a/k 1");
		List<RowWrite> writes = List.of(RowWrite.create(key, "{}"));
		this.standins.faults().script(FakeTableService.TARGET, Fault.DOWN, Fault.LOST_ANSWER);
		assertThat(table.write(AttemptId.of("w1"), writes)).isInstanceOf(TableService.NotWritten.class);
		assertThat(table.write(AttemptId.of("w2"), writes)).isInstanceOf(TableService.WriteUnknown.class);
		assertThat(((TableService.Found) table.read(key)).row().writer()).isEqualTo(AttemptId.of("w2"));
		assertThat(table.write(AttemptId.of("w3"), writes)).isEqualTo(new TableService.Conflict(key));
		assertThat(table.read(RowKey.of("claim", "other"))).isInstanceOf(TableService.Absent.class);
	}

	// Guards against a call that ran but is reported as not run, or is not counted,
	// because its response was lost.
	@Test
	void callWithLostResponseIsUnknownAndCounted() {
		PlainService service = HttpPlainService.create(BackendServerId.of("dispatch-1"),
				this.standins.addresses().get("dispatch-1"), this.client, SETTINGS);
		PlainService.Call call = new PlainService.Call(AttemptId.of("a1"), "POST", "/bookings",
				Map.of("Idempotency-Key", "k"), new byte[0]);
		this.standins.faults().script("dispatch-1", Fault.DOWN, Fault.LOST_ANSWER);
		assertThat(service.call(call, SETTINGS.responseTimeout())).isInstanceOf(PlainService.CallNotRun.class);
		assertThat(service.call(call, SETTINGS.responseTimeout())).isInstanceOf(PlainService.CallUnknown.class);
		assertThat(this.standins.counters()).containsEntry("executions", Map.of("k", 1));
	}

	// Guards against a broken stream that is not reported as broken, and against a
	// resumption that does not continue the same output.
	@Test
	void resumedStreamCompletesBrokenStream() {
		HttpEngine engine = HttpEngine.create(BackendServerId.of("legacy"), this.standins.addresses().get("legacy"),
				this.client, SETTINGS);
		GenerateRequest request = new GenerateRequest(AttemptId.of("a1"), ModelId.of("any@1"), "prompt", "", 0, 20, 3,
				PriorityClass.URGENT);
		this.standins.faults().script("legacy-beater-llm/stream", Fault.LOST_ANSWER);
		List<GenerateEvent> eventsBeforeBreak = engine.generate(request)
			.toList()
			.timeout(20, TimeUnit.SECONDS)
			.blockingGet();
		int offset = eventsBeforeBreak.size() - 1;
		assertThat(((GenerateEvent.Failed) eventsBeforeBreak.get(offset)).failure())
			.isEqualTo(GenerateEvent.Failure.BROKEN);
		List<GenerateEvent> resumedEvents = engine.resume(request.attempt(), offset)
			.toList()
			.timeout(20, TimeUnit.SECONDS)
			.blockingGet();
		assertThat(textOf(eventsBeforeBreak) + textOf(resumedEvents)).isEqualTo(FakeTokens.fullOutput(request));
		assertThat(resumedEvents.get(resumedEvents.size() - 1))
			.isEqualTo(new GenerateEvent.End(request.attempt(), 20, "length"));
	}

	private static String textOf(List<GenerateEvent> events) {
		StringBuilder text = new StringBuilder();
		for (GenerateEvent event : events) {
			if (event instanceof GenerateEvent.Token token) {
				text.append(token.text());
			}
		}
		return text.toString();
	}

}
