package org.celeryhill.port;

import java.util.List;
import java.util.Optional;

import io.reactivex.rxjava3.core.Flowable;
import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.ModelId;

/**
 * One model engine. Implementations are thread-safe and never throw for a failure of the
 * engine or the network.
 */
public interface Engine {

	/**
	 * Returns the id of the engine.
	 * @return the id, never null
	 */
	BackendServerId id();

	/**
	 * Reads the latest report. Blocks up to the timeout of the implementation.
	 * @return the report, or empty if the engine gave no answer
	 */
	Optional<EngineReport> report();

	/**
	 * Sends a command. Blocks until the engine has accepted it, not until it has
	 * finished.
	 * @param command the command, not null
	 * @return the outcome
	 */
	CommandResult send(EngineCommand command);

	/**
	 * Starts a stream. Cancelling the subscription does not cancel the stream on the
	 * engine.
	 * @param request the request, not null
	 * @return the events, ending with {@link GenerateEvent.End} or
	 * {@link GenerateEvent.Failed}; never signals an error
	 */
	Flowable<GenerateEvent> generate(GenerateRequest request);

	/**
	 * Reads a stream again from an offset.
	 * @param attempt the attempt that started the stream, not null
	 * @param offset the offset of the first token to send
	 * @return the events as for {@link #generate}
	 */
	Flowable<GenerateEvent> resume(AttemptId attempt, int offset);

	/**
	 * Cancels a stream, at best effort. Does not block for an answer of the engine.
	 * @param attempt the attempt that started the stream, not null
	 */
	void cancel(AttemptId attempt);

	/**
	 * Moves the KV cache of a stream to another engine, so that it can be continued there
	 * without prefill.
	 * @param attempt the attempt that started the stream, not null
	 * @param target the engine to move to, not null
	 * @return true if the target holds the cache now
	 */
	boolean moveCache(AttemptId attempt, BackendServerId target);

	/**
	 * Reads cache events after a sequence number. Events come late and with gaps.
	 * @param afterSequence the last sequence number that the caller has seen, 0 for none
	 * @return the events in order, empty if there are none or the engine gave no answer
	 */
	List<CacheEvent> cacheEvents(long afterSequence);

	/** Outcome of a command. */
	enum CommandResult {

		/** The engine will run the command. */
		ACCEPTED,

		/** The engine refused the command because of an old fencing token. */
		REFUSED_TOKEN,

		/** The engine refused the command for another reason, such as no memory. */
		REFUSED,

		/** No byte of the command was sent and none will be. */
		NOT_SENT,

		/** The command may have arrived, or may still arrive. */
		UNKNOWN

	}

	/**
	 * A prompt prefix that an engine has cached or dropped.
	 *
	 * @param sequence the position in the engine's event stream
	 * @param model the model, not null
	 * @param prefixHash the hash of the prefix in whole blocks
	 * @param tokens the length of the prefix in tokens
	 * @param isStored true if it was stored, false if it was dropped
	 */
	record CacheEvent(long sequence, ModelId model, long prefixHash, int tokens, boolean isStored) {

	}

}
