package org.celeryhill.state;

/**
 * Which configuration a daemon has applied and which it knows to be accepted. A daemon
 * never applies a revision lower than the highest it has applied or learned of. Immutable
 * and thread-safe.
 *
 * @param applied the number of the applied revision, 0 before the first
 * @param known the highest number that the daemon knows to be accepted, at least
 * {@code applied}
 */
public record AppliedRevision(long applied, long known) {

	/** State of a daemon that has applied nothing. */
	public static final AppliedRevision NONE = new AppliedRevision(0, 0);

	/**
	 * Creates a state.
	 * @throws IllegalArgumentException if the known number is lower than the applied one
	 */
	public AppliedRevision {
		if (applied < 0 || known < applied) {
			throw new IllegalArgumentException("known revision " + known + " is lower than applied " + applied);
		}
	}

	/**
	 * Returns the state after the daemon learned of an accepted revision, from the store
	 * or a peer.
	 * @param number the number
	 * @return the state, never null
	 */
	public AppliedRevision withKnown(long number) {
		return (number > this.known) ? new AppliedRevision(this.applied, number) : this;
	}

	/**
	 * Returns whether a revision may be applied.
	 * @param number its number
	 * @return true if it is higher than the applied one and no higher one is known
	 */
	public boolean canApply(long number) {
		return number > this.applied && number >= this.known;
	}

	/**
	 * Returns the state after a revision was applied.
	 * @param number its number
	 * @return the state, never null
	 * @throws IllegalArgumentException if the revision must not be applied
	 */
	public AppliedRevision withApplied(long number) {
		if (!canApply(number)) {
			throw new IllegalArgumentException("revision " + number + " must not be applied in state " + this);
		}
		return new AppliedRevision(number, number);
	}

}
