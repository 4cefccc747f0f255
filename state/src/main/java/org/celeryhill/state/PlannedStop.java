package org.celeryhill.state;

import java.util.Objects;

import org.celeryhill.base.AttemptId;

/**
 * Row of a planned stop. Its state only moves forward through announced, draining, done
 * and cleared; it can be cancelled until it is done. Immutable and thread-safe.
 *
 * @param target the host, backend server or data centre to stop, not null
 * @param announcement the unique id of this announcement, not null
 * @param author the operator who announced the stop, not null
 * @param reason the reason that the operator gave, for display, not null
 * @param announcedMillis the wall-clock time of the announcement on the operator's host,
 * in milliseconds since 1970, for display only
 * @param state the state of the stop, not null
 * @param progress a description of the latest progress, for display, such as the models
 * and streams that remain, not null
 */
public record PlannedStop(StopTarget target, AttemptId announcement, String author, String reason, long announcedMillis,
		State state, String progress) {

	/** Creates a stop. */
	public PlannedStop {
		Objects.requireNonNull(target, "target");
		Objects.requireNonNull(announcement, "announcement");
		Objects.requireNonNull(author, "author");
		Objects.requireNonNull(reason, "reason");
		Objects.requireNonNull(state, "state");
		Objects.requireNonNull(progress, "progress");
	}

	/**
	 * Returns whether the target gets no new work because of this stop. A stop that is
	 * done continues to keep work away from its target until it is cleared.
	 * @return false if the stop was cancelled or cleared
	 */
	public boolean isStopping() {
		return this.state != State.CANCELLED && this.state != State.CLEARED;
	}

	/**
	 * Returns whether the state can change to the given one.
	 * @param next the state to change to, not null
	 * @return true if the given state is the current one or may follow it
	 */
	public boolean canChangeTo(State next) {
		return switch (this.state) {
			case ANNOUNCED -> next != State.CLEARED;
			case DRAINING -> next != State.ANNOUNCED && next != State.CLEARED;
			case DONE -> next == State.DONE || next == State.CLEARED;
			case CANCELLED, CLEARED -> next == this.state;
		};
	}

	/**
	 * Returns a copy with the given state and progress.
	 * @param next the new state, not null
	 * @param newProgress the new description of the progress, not null
	 * @return the copy, never null
	 * @throws IllegalArgumentException if the state cannot change to the given one
	 */
	public PlannedStop withState(State next, String newProgress) {
		if (!canChangeTo(next)) {
			throw new IllegalArgumentException("planned stop cannot change from " + this.state + " to " + next);
		}
		return new PlannedStop(this.target, this.announcement, this.author, this.reason, this.announcedMillis, next,
				newProgress);
	}

	/** State of a planned stop. */
	public enum State {

		/** The target gets no new work, and its models get replicas elsewhere. */
		ANNOUNCED,

		/** Work of the target is being completed or moved elsewhere. */
		DRAINING,

		/** The target can be stopped without interrupting a request. */
		DONE,

		/** The stop is over and the target gets work again. */
		CLEARED,

		/** The operator cancelled the stop before it was done. */
		CANCELLED

	}

}
