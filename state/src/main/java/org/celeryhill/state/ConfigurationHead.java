package org.celeryhill.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.celeryhill.base.AttemptId;

/**
 * Row of the configuration head: the latest accepted revision and a bounded number of
 * earlier ones. Immutable and thread-safe.
 *
 * @param recent the latest accepted revisions, highest number first, at most
 * {@link #MAX_RECENT}, empty before the first acceptance, not null
 */
public record ConfigurationHead(List<Acceptance> recent) {

	/** Head before the first acceptance. */
	public static final ConfigurationHead NONE = new ConfigurationHead(List.of());

	/**
	 * Maximum number of acceptances in the row. Older revisions are found by following
	 * the digests in the revision objects.
	 */
	public static final int MAX_RECENT = 32;

	/** Creates a head and copies the list. */
	public ConfigurationHead {
		recent = List.copyOf(recent);
	}

	/**
	 * Returns the number of the latest accepted revision.
	 * @return the number, 0 before the first acceptance
	 */
	public long number() {
		return (this.recent.isEmpty()) ? 0 : this.recent.get(0).number();
	}

	/**
	 * Returns the digest of the latest accepted revision.
	 * @return the digest, empty before the first acceptance, never null
	 */
	public String digest() {
		return (this.recent.isEmpty()) ? "" : this.recent.get(0).digest();
	}

	/**
	 * Returns the acceptance of a revision.
	 * @param number the number of the revision
	 * @return the acceptance, or empty if the revision is not accepted or is no longer in
	 * the row
	 */
	public Optional<Acceptance> findAcceptance(long number) {
		return this.recent.stream().filter((candidate) -> candidate.number() == number).findFirst();
	}

	/**
	 * Returns the head after another revision has been accepted.
	 * @param acceptance the acceptance of the next revision, not null
	 * @return the head, never null
	 * @throws IllegalArgumentException if its number is not one higher than that of the
	 * latest accepted revision
	 */
	public ConfigurationHead accept(Acceptance acceptance) {
		if (acceptance.number() != number() + 1) {
			throw new IllegalArgumentException("revision " + acceptance.number() + " cannot follow " + number());
		}
		List<Acceptance> next = new ArrayList<>();
		next.add(acceptance);
		this.recent.stream().limit(MAX_RECENT - 1).forEach(next::add);
		return new ConfigurationHead(next);
	}

	/**
	 * Record of an accepted revision. Immutable and thread-safe.
	 *
	 * @param number the number of the revision, positive
	 * @param digest the digest of the files of the revision, not null
	 * @param author the operator who proposed it, not null
	 * @param proposal the unique id of the accepted proposal, not null
	 * @param acceptedMillis the wall-clock time of the acceptance on the operator's host,
	 * in milliseconds since 1970, for display only
	 */
	public record Acceptance(long number, String digest, String author, AttemptId proposal, long acceptedMillis) {

		/** Creates an acceptance. */
		public Acceptance {
			Objects.requireNonNull(digest, "digest");
			Objects.requireNonNull(author, "author");
			Objects.requireNonNull(proposal, "proposal");
		}

	}

}
