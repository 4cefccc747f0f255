package org.celeryhill.edge;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.celeryhill.base.ModelId;
import org.celeryhill.forward.EngineProfile;
import org.celeryhill.forward.RequestMetadata;
import org.celeryhill.forward.ServerEntry;
import org.celeryhill.platform.FakePlatformEngine;
import org.celeryhill.platform.PlatformEngineClient;
import org.celeryhill.platform.ServerEntryCodec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the commands that are sent to one engine.
 */
@Timeout(40)
class EngineCommanderTests {

	private static final ModelId MODEL_ONE = ModelId.of("one");

	private static final ModelId MODEL_TWO = ModelId.of("two");

	private ControlFixture fixture;

	private FakePlatformEngine engine;

	private Leadership leadership;

	private EngineCommander commander;

	private long heartbeat;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new ControlFixture();
		this.engine = new FakePlatformEngine("i-1", 100, Map.of("one", 70L, "two", 70L)).withModel("one");
		this.leadership = this.fixture.createLeadership("10.0.0.1:80");
		this.commander = createCommander();
		this.fixture.runUntil("state is known", this::tick, this.commander::isReadyForCommand);
	}

	@AfterEach
	void stop() {
		this.engine.close();
		this.fixture.close();
	}

	private EngineCommander createCommander() {
		return new EngineCommander(this.fixture.loop.loop(),
				PlatformEngineClient.create(this.fixture.loop.httpClient(), (engine) -> {
				}), this.leadership, new EdgeMetrics(), "h1", entry(), profile());
	}

	private static EngineProfile profile() {
		List<EngineProfile.Model> models = List.of(model(MODEL_ONE), model(MODEL_TWO));
		return new EngineProfile(8, 1000, 2, 100_000_000L, 2, 1, models);
	}

	private static EngineProfile.Model model(ModelId id) {
		return new EngineProfile.Model(id, 70_000_000L, 4, 1, Duration.ofSeconds(1), Duration.ofSeconds(1),
				Duration.ofSeconds(1));
	}

	private ServerEntry entry() {
		return ServerEntryCodec.decode(this.engine.id(), this.engine.hostListEntry("s", ++this.heartbeat).getBytes());
	}

	private void tick() {
		this.leadership.tick();
		this.commander.update(entry(), profile());
		this.commander.sendDueCommands();
	}

	private static RequestMetadata.ModelName adapter(String name) {
		return new RequestMetadata.ModelName(MODEL_ONE, Optional.of(name));
	}

	// Guards against an engine that gets no commands any more after one odd report.
	@ParameterizedTest
	@ValueSource(strings = { "", " ", "@1" })
	void oddReportDoesNotEndCommands(String pendingAdapter) throws Exception {
		this.engine.setPendingAdapters(List.of(pendingAdapter));
		this.commander = createCommander();
		for (int i = 0; i < 20; i++) {
			this.fixture.runOnLoop(this::tick);
			Thread.sleep(20);
		}
		assertThat(this.fixture.callOnLoop(this.commander::isReadyForCommand)).isFalse();
		this.engine.setPendingAdapters(List.of());
		this.fixture.runUntil("state is known", this::tick, this.commander::isReadyForCommand);
	}

	// Guards against a swap that needs memory for both models at the same time.
	@Test
	void unloadsBeforeLoading() throws Exception {
		assertThat(this.commander.freeBytes()).isLessThan(70_000_000L);
		this.fixture.runOnLoop(() -> this.commander.unload(MODEL_ONE, "test"));
		this.fixture.runUntil("unloaded", this::tick, this.commander::isReadyForCommand);
		assertThat(this.engine.models()).isEmpty();
		this.fixture.runOnLoop(() -> this.commander.load(MODEL_TWO, false, "test"));
		this.fixture.runUntil("loaded", this::tick, this.commander::isReadyForCommand);
		assertThat(this.engine.models()).containsExactly("two");
		assertThat(this.engine.isOvercommitted()).isFalse();
	}

	// Guards against an unanswered command that takes effect in addition to its retry.
	@Test
	void retriesCommandWithSameCount() throws Exception {
		this.engine.executeLateWithoutResponse(1, 1500);
		this.fixture.runOnLoop(() -> this.commander.unload(MODEL_ONE, "test"));
		this.fixture.runUntil("unloaded", this::tick, this.commander::isReadyForCommand);
		this.fixture.runOnLoop(() -> this.commander.load(MODEL_ONE, false, "test"));
		this.fixture.runUntil("loaded again", this::tick, this.commander::isReadyForCommand);
		Thread.sleep(1200);
		assertThat(this.engine.models()).containsExactly("one");
		List<Long> counts = new ArrayList<>();
		for (JsonNode command : this.engine.commands()) {
			counts.add(command.path("expected").asLong());
		}
		assertThat(counts).containsExactly(0L, 0L, 1L);
	}

	// Guards against more adapters on an engine than it has slots.
	@Test
	void staysWithinAdapterSlots() throws Exception {
		List<String> loaded = new ArrayList<>();
		for (String name : List.of("a1", "a2", "a3")) {
			this.fixture.runOnLoop(() -> this.commander.loadAdapter(adapter(name), (isLoaded) -> {
				if (isLoaded) {
					loaded.add(name);
				}
			}));
			for (int i = 0; i < 20; i++) {
				this.fixture.runOnLoop(this::tick);
				assertThat(this.engine.adapters("one")).hasSizeLessThanOrEqualTo(2);
				Thread.sleep(10);
			}
		}
		assertThat(loaded).containsExactly("a1", "a2");
		for (int i = 0; i < 80; i++) {
			this.fixture.runOnLoop(this::tick);
			Thread.sleep(20);
		}
		this.fixture
			.runOnLoop(() -> this.commander.loadAdapter(adapter("a4"), (isLoaded) -> loaded.add("a4:" + isLoaded)));
		this.fixture.runUntil("an idle adapter is unloaded", this::tick, () -> loaded.contains("a4:true"));
		assertThat(this.engine.adapters("one")).hasSize(2).contains("a4");
	}

	// Guards against a request that waits for an adapter of a model that is unloaded.
	@Test
	void refusesAdaptersOfRetiringModels() throws Exception {
		List<Boolean> results = new ArrayList<>();
		this.fixture.runOnLoop(() -> this.commander.unload(MODEL_ONE, "test"));
		this.fixture.runOnLoop(() -> this.commander.loadAdapter(adapter("a1"), results::add));
		this.fixture.runUntil("answered", this::tick, () -> !results.isEmpty());
		assertThat(results).containsExactly(false);
	}

	// Guards against an exception that ends the control task for good when a new
	// configuration no longer contains the model that is being loaded.
	@Test
	void toleratesModelRemovedFromConfiguration() throws Exception {
		this.fixture.runOnLoop(() -> this.commander.unload(MODEL_ONE, "test"));
		this.fixture.runUntil("unloaded", this::tick, this.commander::isReadyForCommand);
		this.fixture.runOnLoop(() -> this.commander.load(MODEL_TWO, false, "test"));
		EngineProfile without = new EngineProfile(8, 1000, 2, 100_000_000L, 2, 1, List.of(model(MODEL_ONE)));
		this.fixture.runOnLoop(() -> this.commander.update(entry(), without));
		assertThat(this.fixture.callOnLoop(this.commander::remainingLoadTime)).isEmpty();
		assertThat(this.fixture.callOnLoop(this.commander::remainingLoadSeconds)).isEmpty();
	}

	// Guards against a second result for an adapter load: the engine responded after the
	// load had timed out, and the request was sent although it had failed already.
	@Test
	void reportsAdapterResultOnce() throws Exception {
		this.engine.executeLateWithoutResponse(1, 2500);
		List<Boolean> results = new ArrayList<>();
		this.fixture.runOnLoop(() -> this.commander.loadAdapter(adapter("a1"), results::add));
		this.fixture.runUntil("result reported", this::tick, () -> !results.isEmpty());
		for (int i = 0; i < 150; i++) {
			this.fixture.runOnLoop(this::tick);
			Thread.sleep(20);
		}
		assertThat(results).hasSize(1);
	}

}
