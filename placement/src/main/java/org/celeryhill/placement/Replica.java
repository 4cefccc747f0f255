package org.celeryhill.placement;

/**
 * One copy of a model on one engine during a planning round. Not thread-safe.
 */
final class Replica {

	/** Engine that holds the copy. */
	final EngineView engine;

	/** Model of the copy. */
	final ModelView model;

	/** Memory of the copy, in bytes. */
	final long bytes;

	/** State as reported or as recorded in the ledger. */
	private final State state;

	/** Whether an unload is recorded or planned. */
	private boolean isRemoving;

	Replica(EngineView engine, ModelView model, long bytes, State state, boolean isRemoving) {
		this.engine = engine;
		this.model = model;
		this.bytes = bytes;
		this.state = state;
		this.isRemoving = isRemoving;
	}

	/**
	 * Returns whether the copy can serve and no unload is outstanding.
	 * @return true if so
	 */
	boolean isServing() {
		return this.state == State.READY && !this.isRemoving;
	}

	/**
	 * Returns whether the copy counts as a ready replica that others can rely on.
	 * @return true if so
	 */
	boolean isDependable() {
		return isServing() && this.engine.isUsable && this.engine.isStarting;
	}

	/**
	 * Returns whether the copy is ready or will be, on an engine that stays.
	 * @return true if so
	 */
	boolean isExpected() {
		return !this.isRemoving && this.state != State.UNLOADING && this.engine.isUsable;
	}

	/**
	 * Returns whether the weights are on their way to the engine.
	 * @return true if so
	 */
	boolean isInFlight() {
		return this.state == State.LOADING || this.state == State.RECORDED;
	}

	/**
	 * Returns whether memory will be freed by an unload that is already outstanding.
	 * @return true if so
	 */
	boolean isGoing() {
		return this.isRemoving || this.state == State.UNLOADING;
	}

	/** Marks the copy as being unloaded. */
	void remove() {
		this.isRemoving = true;
		this.model.recount();
	}

	/** State of a copy. */
	enum State {

		/** The load is recorded; the engine does not report the model yet. */
		RECORDED,

		/** The engine reports that it loads the model. */
		LOADING,

		/** The engine can serve the model. */
		READY,

		/** The engine reports that it unloads the model. */
		UNLOADING

	}

}
