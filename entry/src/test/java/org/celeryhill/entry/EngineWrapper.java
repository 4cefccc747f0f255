package org.celeryhill.entry;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;

import io.reactivex.rxjava3.core.Flowable;
import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.port.Engine;
import org.celeryhill.port.EngineCommand;
import org.celeryhill.port.EngineReport;
import org.celeryhill.port.GenerateEvent;
import org.celeryhill.port.GenerateRequest;

/**
 * An engine whose streams are changed on their way.
 */
final class EngineWrapper implements Engine {

	final AtomicInteger cancels = new AtomicInteger();

	private final Engine inner;

	private final UnaryOperator<Flowable<GenerateEvent>> generated;

	private final UnaryOperator<Flowable<GenerateEvent>> resumed;

	EngineWrapper(Engine inner, UnaryOperator<Flowable<GenerateEvent>> generated,
			UnaryOperator<Flowable<GenerateEvent>> resumed) {
		this.inner = inner;
		this.generated = generated;
		this.resumed = resumed;
	}

	/**
	 * Wraps both engines of a world.
	 * @param world the world
	 * @param generated changes new streams
	 * @param resumed changes resumed streams
	 */
	static void install(TestWorld world, UnaryOperator<Flowable<GenerateEvent>> generated,
			UnaryOperator<Flowable<GenerateEvent>> resumed) {
		world.engines
			.forEach((id, engine) -> world.engineOverrides.put(id, new EngineWrapper(engine, generated, resumed)));
	}

	@Override
	public BackendServerId id() {
		return this.inner.id();
	}

	@Override
	public Optional<EngineReport> report() {
		return this.inner.report();
	}

	@Override
	public CommandResult send(EngineCommand command) {
		return this.inner.send(command);
	}

	@Override
	public Flowable<GenerateEvent> generate(GenerateRequest request) {
		return this.generated.apply(this.inner.generate(request));
	}

	@Override
	public Flowable<GenerateEvent> resume(AttemptId attempt, int offset) {
		return this.resumed.apply(this.inner.resume(attempt, offset));
	}

	@Override
	public void cancel(AttemptId attempt) {
		this.cancels.incrementAndGet();
		this.inner.cancel(attempt);
	}

	@Override
	public boolean moveCache(AttemptId attempt, BackendServerId target) {
		return this.inner.moveCache(attempt, target);
	}

	@Override
	public List<CacheEvent> cacheEvents(long afterSequence) {
		return this.inner.cacheEvents(afterSequence);
	}

}
