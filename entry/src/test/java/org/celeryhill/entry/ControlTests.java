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
 * Tests of configuration, backend servers, demand and the legacy system at a daemon.
 */
class ControlTests {

	private final TestWorld world = new TestWorld(100);

	private final EntryDaemon daemon = this.world.daemon("entry-1");

	private final TestCaller caller = new TestCaller(this.daemon, TestWorld.KEY_A);

	@AfterEach
	void close() {
		this.world.close();
	}

	/** Guards against a configuration that reverts to an older one. */
	@Test
	void lowerRevisionIsNeverApplied() {
		this.world.propose(50);
		TestWorld.await(() -> this.daemon.revisions().number() == 2);
		assertThat(this.daemon.revisions().apply(new RevisionDocument(1, Map.of()))).isFalse();
		this.daemon.revisions().hear(9);
		assertThat(this.daemon.revisions().apply(new RevisionDocument(8, Map.of()))).isFalse();
		assertThat(this.daemon.revisions().number()).isEqualTo(2);
	}

	/** Guards against a data path that depends on the platform's stores. */
	@Test
	void streamsGoOnWhileStoresAreDown() {
		this.world.faults.setDown(FakeTableService.TARGET, true);
		this.world.faults.setDown(FakeObjectService.TARGET, true);
		assertThat(this.caller.stream(TestCaller.body(20, true)).readAll().isWhole()).isTrue();
	}

	/** Guards against a replaced host that cannot serve while the stores are away. */
	@Test
	void newDaemonStartsFromPeersWhileStoresAreDown() {
		EntryDaemon second = this.world.daemon("entry-2", this.world.listEntryHost("entry-2"));
		this.world.faults.setDown(FakeTableService.TARGET, true);
		EntryDaemon third = this.world.daemon("entry-3", this.world.listEntryHost("entry-3"));
		assertThat(third.revisions().number()).isEqualTo(1);
		TestWorld.await(() -> second.members().size() == 2);
		TestWorld.await(() -> second.dump().toString().contains("peers=1"));
	}

	/** Guards against new requests to a draining engine while the host list lags. */
	@Test
	void plannedStopKeepsRequestsAway() {
		PlannedStopStore stops = PlannedStopStore.create(
				ConditionalWriter.create(this.world.table, AttemptIds.random(), RetryPolicy.immediate()),
				this.world.timer);
		stops.announce(StopTarget.backendServer(BackendServerId.of("engine-1")), "test", "maintenance");
		TestWorld.await(() -> this.daemon.dump().toString().contains("leaving=true"));
		long before = this.world.engine("engine-1").startedStreams();
		for (int i = 0; i < 8; i++) {
			assertThat(this.caller.post("/v1/completions", TestCaller.body(3, false)).statusCode()).isEqualTo(200);
		}
		assertThat(this.world.engine("engine-1").startedStreams()).isEqualTo(before);
	}

	/** Guards against planners that see no demand. */
	@Test
	void demandIsPublished() {
		this.caller.post("/v1/completions", TestCaller.body(3, false));
		TestWorld.await(() -> this.world.table.peek(RowKey.of("demand", "entry-1"))
			.filter((row) -> row.value().contains("\"" + TestWorld.MODEL + "\":{\"tokensPerSecond\":"))
			.isPresent());
	}

	/** Guards against requests that are lost or cross over while both systems run. */
	@Test
	void legacySystemServesItsPart() {
		this.world.propose(0);
		TestWorld.await(() -> this.daemon.revisions().number() == 2);
		TestCaller.EventStream stream = this.caller.stream(TestCaller.body(30, true)).readAll();
		assertThat(stream.text()).isEqualTo(TestCaller.expected(30));
		assertThat(stream.isWhole()).isTrue();
		assertThat(this.world.engine("legacy-llm").startedStreams()).isEqualTo(1);
		assertThat(this.caller.get("/v1/services/dispatch/rolls").body()).contains("legacy-dispatch");
	}

	/** Guards against a repeatable call that fails although another server can run it. */
	@Test
	void idempotentCallMovesToAnotherServer() {
		this.world.faults.script("dispatch-1", org.celeryhill.fake.Fault.LOST_ANSWER);
		this.world.faults.script("dispatch-2", org.celeryhill.fake.Fault.NONE);
		for (int i = 0; i < 6; i++) {
			assertThat(this.caller.get("/v1/services/dispatch/rolls?page=" + i).statusCode()).isEqualTo(200);
		}
	}

	/** Guards against decisions that operators cannot look up. */
	@Test
	void decisionsAreExplained() throws Exception {
		String id = this.caller.post("/v1/completions", TestCaller.body(3, false))
			.headers()
			.firstValue("X-Request-Id")
			.orElseThrow();
		java.net.http.HttpClient client = java.net.http.HttpClient.newHttpClient();
		for (String page : java.util.List.of("/admin/explain?request=" + id, "/metrics", "/readyz", "/admin/dump")) {
			java.net.http.HttpResponse<String> answer = client.send(
					java.net.http.HttpRequest.newBuilder(this.daemon.adminUri().resolve(page)).build(),
					java.net.http.HttpResponse.BodyHandlers.ofString());
			assertThat(answer.statusCode()).as(page).isEqualTo(200);
			assertThat(answer.body()).containsAnyOf("send", "entry_generations", "ready", "generations");
		}
	}

}
