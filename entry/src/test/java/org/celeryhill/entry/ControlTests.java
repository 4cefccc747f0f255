package org.celeryhill.entry;

import java.util.Map;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.RevisionDocument;
import org.celeryhill.fake.FakeObjectService;
import org.celeryhill.fake.FakeTableService;
import org.celeryhill.port.RowKey;
import org.celeryhill.state.AttemptIds;
import org.celeryhill.state.ConditionalWriter;
import org.celeryhill.state.PlannedStopStore;
import org.celeryhill.state.RetryPolicy;
import org.celeryhill.state.StopTarget;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of how a daemon handles configuration, planned stops, demand, the legacy system
 * and the pages for operators.
 */
class ControlTests {

	private final TestEnvironment environment = new TestEnvironment(100);

	private final EntryDaemon daemon = this.environment.startDaemon("entry-1");

	private final TestCaller caller = new TestCaller(this.daemon, TestEnvironment.API_KEY_A);

	@AfterEach
	void close() {
		this.environment.close();
	}

	/** Guards against applying an older revision than the highest known one. */
	@Test
	void lowerRevisionIsNeverApplied() {
		this.environment.acceptConfiguration(50);
		TestEnvironment.await(() -> this.daemon.revisions().number() == 2);
		assertThat(this.daemon.revisions().apply(new RevisionDocument(1, Map.of()))).isFalse();
		this.daemon.revisions().recordKnown(9);
		assertThat(this.daemon.revisions().apply(new RevisionDocument(8, Map.of()))).isFalse();
		assertThat(this.daemon.revisions().number()).isEqualTo(2);
	}

	/** Guards against generations that depend on the table and object services. */
	@Test
	void generationsAreServedWhileStoresAreDown() {
		this.environment.faults.setDown(FakeTableService.TARGET, true);
		this.environment.faults.setDown(FakeObjectService.TARGET, true);
		assertThat(this.caller.openStream(TestCaller.body(20, true)).readAll().isComplete()).isTrue();
	}

	/**
	 * Guards against a new daemon that cannot get its configuration while the stores are
	 * unavailable.
	 */
	@Test
	void newDaemonStartsFromPeersWhileStoresAreDown() {
		EntryDaemon second = this.environment.startDaemon("entry-2", this.environment.listEntryHost("entry-2"));
		this.environment.faults.setDown(FakeTableService.TARGET, true);
		EntryDaemon third = this.environment.startDaemon("entry-3", this.environment.listEntryHost("entry-3"));
		assertThat(third.revisions().number()).isEqualTo(1);
		TestEnvironment.await(() -> second.members().size() == 2);
		TestEnvironment.await(() -> second.dump().toString().contains("peers=1"));
	}

	/**
	 * Guards against new requests to an engine with a planned stop before the host list
	 * shows it as leaving.
	 */
	@Test
	void engineWithPlannedStopGetsNoNewRequests() {
		PlannedStopStore stops = PlannedStopStore.create(
				ConditionalWriter.create(this.environment.table, AttemptIds.random(), RetryPolicy.immediate()),
				this.environment.timer);
		stops.announce(StopTarget.backendServer(BackendServerId.of("engine-1")), "test", "maintenance");
		TestEnvironment.await(() -> this.daemon.dump().toString().contains("leaving=true"));
		long before = this.environment.engine("engine-1").startedStreams();
		for (int i = 0; i < 8; i++) {
			assertThat(this.caller.post("/v1/completions", TestCaller.body(3, false)).statusCode()).isEqualTo(200);
		}
		assertThat(this.environment.engine("engine-1").startedStreams()).isEqualTo(before);
	}

	/** Guards against demand that is not published for the planners. */
	@Test
	void demandIsPublished() {
		this.caller.post("/v1/completions", TestCaller.body(3, false));
		TestEnvironment.await(() -> this.environment.table.peek(RowKey.of("demand", "entry-1"))
			.filter((row) -> row.value().contains("\"" + TestEnvironment.MODEL + "\":{\"tokensPerSecond\":"))
			.isPresent());
	}

	/**
	 * Guards against requests that fail or are sent to the wrong system while both
	 * systems run.
	 */
	@Test
	void legacySystemServesItsTrafficShare() {
		this.environment.acceptConfiguration(0);
		TestEnvironment.await(() -> this.daemon.revisions().number() == 2);
		TestCaller.EventStream stream = this.caller.openStream(TestCaller.body(30, true)).readAll();
		assertThat(stream.text()).isEqualTo(TestCaller.expectedText(30));
		assertThat(stream.isComplete()).isTrue();
		assertThat(this.environment.engine("legacy-llm").startedStreams()).isEqualTo(1);
		assertThat(this.caller.get("/v1/services/dispatch/rolls").body()).contains("legacy-dispatch");
	}

	/**
	 * Guards against an idempotent call that fails although another server can run it.
	 */
	@Test
	void idempotentCallIsRetriedOnAnotherServer() {
		this.environment.faults.script("dispatch-1", org.celeryhill.fake.Fault.LOST_ANSWER);
		this.environment.faults.script("dispatch-2", org.celeryhill.fake.Fault.NONE);
		for (int i = 0; i < 6; i++) {
			assertThat(this.caller.get("/v1/services/dispatch/rolls?page=" + i).statusCode()).isEqualTo(200);
		}
	}

	/** Guards against pages for operators that fail or show no content. */
	@Test
	void operatorPagesShowContent() throws Exception {
		String id = this.caller.post("/v1/completions", TestCaller.body(3, false))
			.headers()
			.firstValue("X-Request-Id")
			.orElseThrow();
		java.net.http.HttpClient client = java.net.http.HttpClient.newHttpClient();
		for (String page : java.util.List.of("/admin/explain?request=" + id, "/metrics", "/readyz", "/admin/dump")) {
			java.net.http.HttpResponse<String> response = client.send(
					java.net.http.HttpRequest.newBuilder(this.daemon.adminUri().resolve(page)).build(),
					java.net.http.HttpResponse.BodyHandlers.ofString());
			assertThat(response.statusCode()).as(page).isEqualTo(200);
			assertThat(response.body()).containsAnyOf("send", "entry_generations", "ready", "generations");
		}
	}

}
