package org.celeryhill.entry;

import java.util.List;
import java.util.Optional;

import io.reactivex.rxjava3.core.Flowable;
import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.port.Engine;
import org.celeryhill.port.EngineCommand;
import org.celeryhill.port.EngineReport;
import org.celeryhill.port.GenerateEvent;
import org.celeryhill.port.GenerateRequest;

/**
 * Placeholder for an engine that is not in the host list. Its attempts fail like those of
 * an unreachable engine. Immutable and thread-safe.
 */
enum MissingEngine implements Engine {

	/** The only instance. */
	INSTANCE;

	@Override
	public BackendServerId id() {
		return BackendServerId.of("missing");
	}

	@Override
	public Optional<EngineReport> report() {
		return Optional.empty();
	}

	@Override
	public CommandResult send(EngineCommand command) {
		return CommandResult.NOT_SENT;
	}

	@Override
	public Flowable<GenerateEvent> generate(GenerateRequest request) {
		return failed(request.attempt(), GenerateEvent.Failure.NOT_SENT);
	}

	@Override
	public Flowable<GenerateEvent> resume(AttemptId attempt, int offset) {
		return failed(attempt, GenerateEvent.Failure.UNKNOWN_STREAM);
	}

	@Override
	public void cancel(AttemptId attempt) {
		// There is no stream to cancel.
	}

	@Override
	public boolean moveCache(AttemptId attempt, BackendServerId target) {
		return false;
	}

	@Override
	public List<CacheEvent> cacheEvents(long afterSequence) {
		return List.of();
	}

	private static Flowable<GenerateEvent> failed(AttemptId attempt, GenerateEvent.Failure failure) {
		return Flowable.just(new GenerateEvent.Failed(attempt, failure, "the engine is not in the host list"));
	}

}
