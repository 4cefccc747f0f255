package org.celeryhill.state;

/**
 * The configuration revision that a daemon has applied and the highest revision that it
 * knows to be accepted. A daemon never applies a revision that is lower than the highest
 * one it has applied or knows of. Immutable and thread-safe.
 *
 * @param applied the number of the applied revision, 0 if none has been applied
 * @param known the highest revision number known to be accepted, at least {@code applied}
 */
public record AppliedRevision(long applied, long known) {

	/** State of a daemon that has not applied a revision yet. */
	public static final AppliedRevision NONE = new AppliedRevision(0, 0);

	/**
	 * Creates a state.
	 * @throws IllegalArgumentException if {@code applied} is negative or {@code known} is
	 * lower than {@code applied}
	 */
	public AppliedRevision {
		if (applied < 0 || known < applied) {
			throw new IllegalArgumentException("known revision " + known + " is lower than applied " + applied);
		}
	}

	/**
	 * Returns the state after the daemon has learned, from the store or from a peer, that
	 * a revision is accepted.
	 * @param number the number of the accepted revision
	 * @return the state, never null
	 */
	public AppliedRevision withKnown(long number) {
		return (number > this.known) ? new AppliedRevision(this.applied, number) : this;
	}

	/**
	 * Returns whether a revision may be applied.
	 * @param number the number of the revision
	 * @return true if the revision is higher than the applied one and no higher revision
	 * is known
	 */
	public boolean canApply(long number) {
		return number > this.applied && number >= this.known;
	}

	/**
	 * Returns the state after a revision has been applied.
	 * @param number the number of the revision
	 * @return the state, never null
	 * @throws IllegalArgumentException if {@link #canApply} returns false for the
	 * revision
	 */
	public AppliedRevision withApplied(long number) {
		if (!canApply(number)) {
			throw new IllegalArgumentException("revision " + number + " must not be applied in state " + this);
		}
		return new AppliedRevision(number, number);
	}

}
