package org.celeryhill.state;

import java.util.Objects;

import org.celeryhill.base.AttemptId;

/**
 * Row of a planned stop. Its state only moves forward: announced, draining, done,
 * cleared; or cancelled before it is done. Immutable and thread-safe.
 *
 * @param target what is stopped, not null
 * @param announcement the unique id of this announcement, not null
 * @param author the operator, not null
 * @param reason why, for display, not null
 * @param announcedMillis the wall clock time of the operator in milliseconds since 1970,
 * for display only
 * @param state how far the stop is, not null
 * @param progress the latest progress, for display, such as the models and streams that
 * remain, not null
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
	 * Returns whether the target gets no new work because of this stop. A target that is
	 * done stays stopped until the stop is cleared.
	 * @return false if the stop was cancelled or cleared
	 */
	public boolean isStopping() {
		return this.state != State.CANCELLED && this.state != State.CLEARED;
	}

	/**
	 * Returns whether the state can change to another one.
	 * @param next the other state, not null
	 * @return true if it is the same or a later one
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
	 * Returns a copy with another state.
	 * @param next the state, not null
	 * @param newProgress the progress, not null
	 * @return the copy, never null
	 * @throws IllegalArgumentException if the state cannot change to the other one
	 */
	public PlannedStop withState(State next, String newProgress) {
		if (!canChangeTo(next)) {
			throw new IllegalArgumentException("planned stop cannot change from " + this.state + " to " + next);
		}
		return new PlannedStop(this.target, this.announcement, this.author, this.reason, this.announcedMillis, next,
				newProgress);
	}

	/** How far a stop is. */
	public enum State {

		/** No new work goes to the target; models get replicas elsewhere. */
		ANNOUNCED,

		/** Work of the target is ending or moving. */
		DRAINING,

		/** The target can be stopped without interrupting a request. */
		DONE,

		/** The target was stopped and gets work again. */
		CLEARED,

		/** The operator took the announcement back. */
		CANCELLED

	}

}
