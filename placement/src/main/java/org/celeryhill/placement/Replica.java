package org.celeryhill.placement;

/**
 * Mutable view of one replica of a model or adapter during a planning round. Not
 * thread-safe.
 */
final class Replica {

	/** Engine that holds the replica. */
	final EngineView engine;

	/** Model or adapter of the replica. */
	final ModelView model;

	/** Memory that the replica takes, in bytes. */
	final long bytes;

	/** State as reported by the engine or recorded in the command ledger. */
	private final State state;

	/** Whether an unload is recorded or planned in this round. */
	private boolean isUnloadPending;

	Replica(EngineView engine, ModelView model, long bytes, State state, boolean isUnloadPending) {
		this.engine = engine;
		this.model = model;
		this.bytes = bytes;
		this.state = state;
		this.isUnloadPending = isUnloadPending;
	}

	/**
	 * Returns whether the replica can serve requests and no unload is outstanding.
	 * @return true if so
	 */
	boolean isServing() {
		return this.state == State.READY && !this.isUnloadPending;
	}

	/**
	 * Returns whether the replica counts as ready: it serves, its engine is usable, and
	 * the role of the engine lets it start requests.
	 * @return true if so
	 */
	boolean countsAsReady() {
		return isServing() && this.engine.isUsable && this.engine.canStartRequests;
	}

	/**
	 * Returns whether the replica is or will be ready on an engine that remains in
	 * service.
	 * @return true if so
	 */
	boolean isExpected() {
		return !this.isUnloadPending && this.state != State.UNLOADING && this.engine.isUsable;
	}

	/**
	 * Returns whether the load of the replica has not finished.
	 * @return true if so
	 */
	boolean isInFlight() {
		return this.state == State.LOADING || this.state == State.RECORDED;
	}

	/**
	 * Returns whether an outstanding unload will free the memory of the replica.
	 * @return true if so
	 */
	boolean isBeingUnloaded() {
		return this.isUnloadPending || this.state == State.UNLOADING;
	}

	/** Marks the replica as being unloaded and updates the counts of its model. */
	void markUnloadPending() {
		this.isUnloadPending = true;
		this.model.recount();
	}

	/** State of a replica. */
	enum State {

		/** The load is recorded, but the engine does not report the model yet. */
		RECORDED,

		/** The engine reports that it is loading the model. */
		LOADING,

		/** The engine can serve the model. */
		READY,

		/** The engine reports that it is unloading the model. */
		UNLOADING

	}

}
