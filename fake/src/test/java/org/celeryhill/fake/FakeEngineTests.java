package org.celeryhill.fake;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import io.reactivex.rxjava3.subscribers.TestSubscriber;
import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.FencingToken;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.VirtualTimerService;
import org.celeryhill.port.EngineCommand;
import org.celeryhill.port.GenerateEvent;
import org.celeryhill.port.GenerateEvent.Failure;
import org.celeryhill.port.GenerateRequest;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a fake engine that hides faults of the system under test, such as
 * outputs that differ between engines, lost tokens, or streams that end early.
 */
class FakeEngineTests {

	/** Model that every engine loads. */
	private static final ModelId MODEL = ModelId.of("mill-a/furnish@1");

	/** Seed of the fault injector. */
	private static final long SEED = 7;

	/** Virtual time of the engines. */
	private final VirtualTimerService timer = VirtualTimerService.startingAt(Instant.EPOCH);

	/** Faults of the engines. */
	private final FaultInjector faults = FaultInjector.ofSeed(SEED);

	// Guards against an output that differs after a move to another engine: the caller
	// would get a text that no single engine generates.
	@Test
	void continuationOnAnotherEngineGivesSameOutput() {
		FakeEngine first = engine("e1");
		FakeEngine second = engine("e2");
		GenerateRequest request = request("a1", "", 0, 40);
		TestSubscriber<GenerateEvent> begun = first.generate(request).test();
		this.timer.advance(Duration.ofMillis(300));
		first.stop();
		List<GenerateEvent> delivered = begun.values();
		int tokens = delivered.size() - 1;
		assertThat(tokens).isBetween(1, 39);
		assertThat(delivered.get(tokens)).isInstanceOf(GenerateEvent.Failed.class);
		String text = textOf(delivered);
		TestSubscriber<GenerateEvent> rest = second.generate(request("a2", text, tokens, 40)).test();
		this.timer.advance(Duration.ofSeconds(2));
		assertThat(text + textOf(rest.values())).isEqualTo(FakeTokens.fullOutput(request));
		assertThat(lastEvent(rest)).isEqualTo(new GenerateEvent.End(AttemptId.of("a2"), 40, "length"));
		assertThat(first.droppedStreams()).isEqualTo(1);
	}

	// Guards against missing or repeated tokens when a broken stream is resumed, also
	// after
	// it has ended.
	@Test
	void resumeDeliversTokensFromOffset() {
		FakeEngine engine = engine("e1");
		this.faults.script("e1/stream", Fault.LOST_ANSWER);
		TestSubscriber<GenerateEvent> broken = engine.generate(request("a1", "", 0, 20)).test();
		this.timer.advance(Duration.ofSeconds(2));
		assertThat(lastEvent(broken)).isInstanceOf(GenerateEvent.Failed.class);
		int offset = broken.values().size() - 1;
		List<GenerateEvent> rest = engine.resume(AttemptId.of("a1"), offset).test().values();
		assertThat(textOf(broken.values()) + textOf(rest)).isEqualTo(FakeTokens.fullOutput(request("a1", "", 0, 20)));
		assertThat(rest.get(rest.size() - 1)).isInstanceOf(GenerateEvent.End.class);
	}

	// Guards against a refusal, a lost request, an unknown stream and an unreachable
	// engine
	// that are reported as the same kind of failure.
	@Test
	void failuresBeforeFirstTokenHaveDistinctKinds() {
		FakeEngine engine = engine("e1");
		GenerateRequest other = new GenerateRequest(AttemptId.of("a0"), ModelId.of("x@1"), "p", "", 0, 4, 1,
				PriorityClass.URGENT);
		assertThat(failureOf(engine.generate(other).test())).isEqualTo(Failure.REFUSED);
		this.faults.script("e1/stream", Fault.DOWN, Fault.LOST_REQUEST);
		assertThat(failureOf(engine.generate(request("a1", "", 0, 4)).test())).isEqualTo(Failure.NOT_SENT);
		assertThat(failureOf(engine.generate(request("a2", "", 0, 4)).test())).isEqualTo(Failure.BROKEN);
		assertThat(failureOf(engine.resume(AttemptId.of("a1"), 0).test())).isEqualTo(Failure.UNKNOWN_STREAM);
		engine.stop();
		assertThat(engine.report()).isEmpty();
		assertThat(failureOf(engine.generate(request("a3", "", 0, 4)).test())).isEqualTo(Failure.NOT_SENT);
	}

	// Without events of another attempt, no test covers the code that drops them.
	@Test
	void reorderFaultInsertsTokenOfAnotherAttempt() {
		FakeEngine engine = engine("e1");
		this.faults.script("e1/stream", Fault.REORDER);
		TestSubscriber<GenerateEvent> events = engine.generate(request("a1", "", 0, 4)).test();
		this.timer.advance(Duration.ofSeconds(1));
		assertThat(events.values().get(0).attempt()).isNotEqualTo(AttemptId.of("a1"));
		assertThat(events.values()).hasSize(6);
	}

	// Guards against a queue that ignores priorities and a batch that exceeds its slots.
	@Test
	void slotsAreAssignedByPriority() {
		FakeEngineSettings small = FakeEngineSettings.defaults().withBatchLimits(1, 1000, 2);
		FakeEngine engine = engine("e1", small);
		engine.generate(request("a1", "", 0, 4)).test();
		TestSubscriber<GenerateEvent> batch = engine.generate(withPriority("a2", PriorityClass.BATCH)).test();
		TestSubscriber<GenerateEvent> urgent = engine.generate(withPriority("a3", PriorityClass.URGENT)).test();
		assertThat(failureOf(engine.generate(withPriority("a4", PriorityClass.URGENT)).test()))
			.isEqualTo(Failure.REFUSED);
		assertThat(engine.currentReport().running()).isEqualTo(1);
		assertThat(engine.currentReport().queued()).isEqualTo(2);
		while (urgent.values().size() < 5) {
			this.timer.advance(Duration.ofMillis(1));
			batch.assertNoValues();
		}
		this.timer.advance(Duration.ofSeconds(1));
		assertThat(lastEvent(batch)).isInstanceOf(GenerateEvent.End.class);
	}

	// Guards against reports and cache events without delay, which would hide routing
	// that
	// relies on current ones.
	@Test
	void reportsAndCacheEventsAreDelayed() {
		FakeEngine engine = engine("e1");
		engine.generate(request("a1", "", 0, 200)).test();
		assertThat(engine.report().orElseThrow().running()).isZero();
		this.timer.advance(Duration.ofMillis(400));
		assertThat(engine.cacheEvents(0)).isEmpty();
		this.timer.advance(Duration.ofMillis(700));
		assertThat(engine.report().orElseThrow().running()).isEqualTo(1);
		assertThat(engine.cacheEvents(0)).isNotEmpty();
	}

	// Guards against a cancelled stream that keeps its slot and KV cache, which would
	// lower
	// the capacity of the engine.
	@Test
	void cancelReleasesSlotAndKvCache() {
		FakeEngine engine = engine("e1");
		TestSubscriber<GenerateEvent> events = engine.generate(request("a1", "", 0, 200)).test();
		this.timer.advance(Duration.ofMillis(100));
		engine.cancel(AttemptId.of("a1"));
		assertThat(failureOf(events)).isEqualTo(Failure.BROKEN);
		assertThat(engine.currentReport().running()).isZero();
		assertThat(engine.currentReport().kvTokensUsed()).isZero();
	}

	// Guards against a booking that runs twice without being counted twice, here after a
	// lost response and a second call with the same key.
	@Test
	void repeatedCallsAreCountedByKey() {
		FakePlainService service = FakePlainService.create(BackendServerId.of("s"), 4, this.timer, this.faults,
				(time) -> {
				});
		org.celeryhill.port.PlainService.Call call = new org.celeryhill.port.PlainService.Call(AttemptId.of("a"),
				"POST", "/bookings", java.util.Map.of("idempotency-key", "k"), new byte[0]);
		this.faults.script("s", Fault.LOST_ANSWER);
		assertThat(service.call(call, Duration.ofSeconds(1)))
			.isInstanceOf(org.celeryhill.port.PlainService.CallUnknown.class);
		service.call(call, Duration.ofSeconds(1));
		assertThat(service.executionCounts()).containsEntry("k", 2);
	}

	private FakeEngine engine(String id) {
		return engine(id, FakeEngineSettings.defaults());
	}

	private FakeEngine engine(String id, FakeEngineSettings settings) {
		FakeEngineMemory memory = FakeEngineMemory.create(BackendServerId.of(id),
				FakeEngineMemory.Settings.ofMemory(1000), this.timer, this.faults);
		FakeEngine engine = FakeEngine.create(memory, settings, this.timer, this.faults);
		engine.send(new EngineCommand(AttemptId.of("load-" + id), BackendServerId.of(id),
				EngineCommand.Action.LOAD_MODEL, MODEL, 10, FencingToken.ZERO));
		this.timer.advance(Duration.ofSeconds(3));
		return engine;
	}

	private static GenerateRequest request(String attempt, String continuation, int tokens, int maxTokens) {
		return new GenerateRequest(AttemptId.of(attempt), MODEL, "furnish of line one ".repeat(20), continuation,
				tokens, maxTokens, 42, PriorityClass.URGENT);
	}

	private static GenerateRequest withPriority(String attempt, PriorityClass priority) {
		return new GenerateRequest(AttemptId.of(attempt), MODEL, "p", "", 0, 4, 42, priority);
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

	private static GenerateEvent lastEvent(TestSubscriber<GenerateEvent> events) {
		return events.values().get(events.values().size() - 1);
	}

	private static Failure failureOf(TestSubscriber<GenerateEvent> events) {
		return ((GenerateEvent.Failed) lastEvent(events)).failure();
	}

}
