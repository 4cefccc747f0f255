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
 * Engine that transforms the streams of another engine and counts cancellations.
 */
final class StreamTransformingEngine implements Engine {

	final AtomicInteger cancelCount = new AtomicInteger();

	private final Engine inner;

	private final UnaryOperator<Flowable<GenerateEvent>> transformGenerated;

	private final UnaryOperator<Flowable<GenerateEvent>> transformResumed;

	StreamTransformingEngine(Engine inner, UnaryOperator<Flowable<GenerateEvent>> transformGenerated,
			UnaryOperator<Flowable<GenerateEvent>> transformResumed) {
		this.inner = inner;
		this.transformGenerated = transformGenerated;
		this.transformResumed = transformResumed;
	}

	/**
	 * Wraps all engines of an environment.
	 * @param environment the environment
	 * @param transformGenerated transforms new streams
	 * @param transformResumed transforms resumed streams
	 */
	static void install(TestEnvironment environment, UnaryOperator<Flowable<GenerateEvent>> transformGenerated,
			UnaryOperator<Flowable<GenerateEvent>> transformResumed) {
		environment.engines.forEach((id, engine) -> environment.engineOverrides.put(id,
				new StreamTransformingEngine(engine, transformGenerated, transformResumed)));
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
		return this.transformGenerated.apply(this.inner.generate(request));
	}

	@Override
	public Flowable<GenerateEvent> resume(AttemptId attempt, int offset) {
		return this.transformResumed.apply(this.inner.resume(attempt, offset));
	}

	@Override
	public void cancel(AttemptId attempt) {
		this.cancelCount.incrementAndGet();
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
