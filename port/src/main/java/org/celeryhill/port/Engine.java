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
	 * @return the report, or empty if the engine did not respond
	 */
	Optional<EngineReport> report();

	/**
	 * Sends a command. Blocks until the engine has accepted the command, but does not
	 * wait for its completion.
	 * @param command the command, not null
	 * @return the outcome
	 */
	CommandResult send(EngineCommand command);

	/**
	 * Starts a stream of generated text. Cancelling the subscription does not cancel the
	 * stream on the engine.
	 * @param request the request, not null
	 * @return the events, ending with {@link GenerateEvent.End} or
	 * {@link GenerateEvent.Failed}; never signals an error
	 */
	Flowable<GenerateEvent> generate(GenerateRequest request);

	/**
	 * Reads a stream that was started earlier, beginning at an offset.
	 * @param attempt the attempt that started the stream, not null
	 * @param offset the offset of the first token to return
	 * @return the events as for {@link #generate}
	 */
	Flowable<GenerateEvent> resume(AttemptId attempt, int offset);

	/**
	 * Asks the engine to cancel a stream, without a guarantee that it does. Does not wait
	 * for the response.
	 * @param attempt the attempt that started the stream, not null
	 */
	void cancel(AttemptId attempt);

	/**
	 * Moves the KV cache of a stream to another engine, so that it can be continued there
	 * without prefill.
	 * @param attempt the attempt that started the stream, not null
	 * @param target the engine to move to, not null
	 * @return true if the target now holds the cache
	 */
	boolean moveCache(AttemptId attempt, BackendServerId target);

	/**
	 * Reads the cache events after a sequence number. Events are delayed, and some can be
	 * missing.
	 * @param afterSequence the last sequence number that the caller has seen, 0 for none
	 * @return the events in order, empty if there are none or the engine did not respond
	 */
	List<CacheEvent> cacheEvents(long afterSequence);

	/** Outcome of a command. */
	enum CommandResult {

		/** The engine will run the command. */
		ACCEPTED,

		/** The engine refused the command because of an old fencing token. */
		REFUSED_TOKEN,

		/**
		 * The engine refused the command for another reason, such as insufficient memory.
		 */
		REFUSED,

		/** No byte of the command was sent and none will be. */
		NOT_SENT,

		/** The command may have reached the engine, or may still reach it. */
		UNKNOWN

	}

	/**
	 * Notice that an engine has stored a prompt prefix in its cache or evicted it.
	 *
	 * @param sequence the position in the engine's event stream
	 * @param model the model, not null
	 * @param prefixHash the hash of the prefix, which consists of whole cache blocks
	 * @param tokens the length of the prefix in tokens
	 * @param isStored true if the prefix was stored, false if it was evicted
	 */
	record CacheEvent(long sequence, ModelId model, long prefixHash, int tokens, boolean isStored) {

	}

}
