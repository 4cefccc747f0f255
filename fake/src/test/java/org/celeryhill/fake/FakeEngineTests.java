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
 * Guards against a fake engine that hides faults of the product: answers that differ
 * between engines, lost tokens, and streams that end without being whole.
 */
class FakeEngineTests {

	/** Model of all requests. */
	private static final ModelId MODEL = ModelId.of("mill-a/furnish@1");

	/** Seed of drawn faults and lost cache events. */
	private static final long SEED = 7;

	/** Virtual time. */
	private final VirtualTimerService timer = VirtualTimerService.startingAt(Instant.EPOCH);

	/** Faults. */
	private final FaultInjector faults = FaultInjector.ofSeed(SEED);

	// An answer continued on another engine must be the answer of the first one, or the
	// caller gets a text that no engine has written.
	@Test
	void continuationOnAnotherEngineGivesTheSameAnswer() {
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
		assertThat(last(rest)).isEqualTo(new GenerateEvent.End(AttemptId.of("a2"), 40, "length"));
		assertThat(first.droppedStreams()).isEqualTo(1);
	}

	// A resume must give exactly the missing tokens, also after the stream has ended.
	@Test
	void resumeStartsAtTheOffset() {
		FakeEngine engine = engine("e1");
		this.faults.script("e1/stream", Fault.LOST_ANSWER);
		TestSubscriber<GenerateEvent> broken = engine.generate(request("a1", "", 0, 20)).test();
		this.timer.advance(Duration.ofSeconds(2));
		assertThat(last(broken)).isInstanceOf(GenerateEvent.Failed.class);
		int offset = broken.values().size() - 1;
		List<GenerateEvent> rest = engine.resume(AttemptId.of("a1"), offset).test().values();
		assertThat(textOf(broken.values()) + textOf(rest)).isEqualTo(FakeTokens.fullOutput(request("a1", "", 0, 20)));
		assertThat(rest.get(rest.size() - 1)).isInstanceOf(GenerateEvent.End.class);
	}

	// A refusal, a lost request and an unreachable engine are told apart.
	@Test
	void failuresBeforeTheFirstTokenAreToldApart() {
		FakeEngine engine = engine("e1");
		GenerateRequest other = new GenerateRequest(AttemptId.of("a0"), ModelId.of("x@1"), "p", "", 0, 4, 1,
				PriorityClass.URGENT);
		assertThat(failure(engine.generate(other).test())).isEqualTo(Failure.REFUSED);
		this.faults.script("e1/stream", Fault.DOWN, Fault.LOST_REQUEST);
		assertThat(failure(engine.generate(request("a1", "", 0, 4)).test())).isEqualTo(Failure.NOT_SENT);
		assertThat(failure(engine.generate(request("a2", "", 0, 4)).test())).isEqualTo(Failure.BROKEN);
		assertThat(failure(engine.resume(AttemptId.of("a1"), 0).test())).isEqualTo(Failure.UNKNOWN_STREAM);
		engine.stop();
		assertThat(engine.report()).isEmpty();
		assertThat(failure(engine.generate(request("a3", "", 0, 4)).test())).isEqualTo(Failure.NOT_SENT);
	}

	// An event of another attempt must be possible, or nothing tests that it is dropped.
	@Test
	void foreignEventIsInterleavedOnRequest() {
		FakeEngine engine = engine("e1");
		this.faults.script("e1/stream", Fault.REORDER);
		TestSubscriber<GenerateEvent> events = engine.generate(request("a1", "", 0, 4)).test();
		this.timer.advance(Duration.ofSeconds(1));
		assertThat(events.values().get(0).attempt()).isNotEqualTo(AttemptId.of("a1"));
		assertThat(events.values()).hasSize(6);
	}

	// Urgent requests overtake others in the queue, and a batch never exceeds its slots.
	@Test
	void slotsAreGivenByPriority() {
		FakeEngineSettings small = FakeEngineSettings.defaults().withBatchLimits(1, 1000, 2);
		FakeEngine engine = engine("e1", small);
		engine.generate(request("a1", "", 0, 4)).test();
		TestSubscriber<GenerateEvent> batch = engine.generate(withPriority("a2", PriorityClass.BATCH)).test();
		TestSubscriber<GenerateEvent> urgent = engine.generate(withPriority("a3", PriorityClass.URGENT)).test();
		assertThat(failure(engine.generate(withPriority("a4", PriorityClass.URGENT)).test()))
			.isEqualTo(Failure.REFUSED);
		assertThat(engine.currentReport().running()).isEqualTo(1);
		assertThat(engine.currentReport().queued()).isEqualTo(2);
		while (urgent.values().size() < 5) {
			this.timer.advance(Duration.ofMillis(1));
			batch.assertNoValues();
		}
		this.timer.advance(Duration.ofSeconds(1));
		assertThat(last(batch)).isInstanceOf(GenerateEvent.End.class);
	}

	// A report without lag and cache events without gaps would hide that routing relies
	// on them.
	@Test
	void reportsAndCacheEventsLag() {
		FakeEngine engine = engine("e1");
		engine.generate(request("a1", "", 0, 200)).test();
		assertThat(engine.report().orElseThrow().running()).isZero();
		this.timer.advance(Duration.ofMillis(400));
		assertThat(engine.cacheEvents(0)).isEmpty();
		this.timer.advance(Duration.ofMillis(700));
		assertThat(engine.report().orElseThrow().running()).isEqualTo(1);
		assertThat(engine.cacheEvents(0)).isNotEmpty();
	}

	// A cancelled stream that keeps its slot would lower the capacity of the engine.
	@Test
	void cancelFreesTheSlot() {
		FakeEngine engine = engine("e1");
		TestSubscriber<GenerateEvent> events = engine.generate(request("a1", "", 0, 200)).test();
		this.timer.advance(Duration.ofMillis(100));
		engine.cancel(AttemptId.of("a1"));
		assertThat(failure(events)).isEqualTo(Failure.BROKEN);
		assertThat(engine.currentReport().running()).isZero();
		assertThat(engine.currentReport().kvTokensUsed()).isZero();
	}

	// A double run of a booking must show in the counter.
	@Test
	void bookingsAreCountedByKey() {
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

	private static GenerateEvent last(TestSubscriber<GenerateEvent> events) {
		return events.values().get(events.values().size() - 1);
	}

	private static Failure failure(TestSubscriber<GenerateEvent> events) {
		return ((GenerateEvent.Failed) last(events)).failure();
	}

}
