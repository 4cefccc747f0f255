package org.celeryhill.port;

import java.util.Objects;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.FencingToken;
import org.celeryhill.base.ModelId;

/**
 * A command to a model engine. Immutable and thread-safe.
 *
 * @param attempt the unique id of the command; an engine that still remembers the id does
 * not run a command again that arrives twice, not null
 * @param engine the engine, not null
 * @param action what to do, not null
 * @param model the model or adapter; for a role change the name of the role, not null
 * @param bytes the accelerator memory that the action allocates or frees, in bytes
 * @param token the fencing token of the lease under which the command is sent, not null
 */
public record EngineCommand(AttemptId attempt, BackendServerId engine, Action action, ModelId model, long bytes,
		FencingToken token) {

	/**
	 * Creates a command.
	 * @throws IllegalArgumentException if the number of bytes is negative
	 */
	public EngineCommand {
		Objects.requireNonNull(attempt, "attempt");
		Objects.requireNonNull(engine, "engine");
		Objects.requireNonNull(action, "action");
		Objects.requireNonNull(model, "model");
		Objects.requireNonNull(token, "token");
		if (bytes < 0) {
			throw new IllegalArgumentException("bytes must not be negative: " + bytes);
		}
	}

	/** What a command does. */
	public enum Action {

		/** Loads the weights of a model. */
		LOAD_MODEL,

		/** Unloads a model. */
		UNLOAD_MODEL,

		/** Loads an adapter onto a loaded base model. */
		LOAD_ADAPTER,

		/** Unloads an adapter. */
		UNLOAD_ADAPTER,

		/** Changes the role of the engine. */
		CHANGE_ROLE;

		/**
		 * Returns whether the action allocates memory and frees none.
		 * @return true for loads
		 */
		public boolean isLoad() {
			return this == LOAD_MODEL || this == LOAD_ADAPTER;
		}

		/**
		 * Returns whether the action frees memory and allocates none.
		 * @return true for unloads
		 */
		public boolean isUnload() {
			return this == UNLOAD_MODEL || this == UNLOAD_ADAPTER;
		}

	}

}
