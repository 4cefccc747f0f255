package org.celeryhill.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.celeryhill.base.AttemptId;

/**
 * Row of the configuration head: the latest accepted revision and the ones before it.
 * Immutable and thread-safe.
 *
 * @param recent the latest accepted revisions, highest number first, bounded, not null,
 * empty before the first acceptance
 */
public record ConfigurationHead(List<Acceptance> recent) {

	/** Head before the first acceptance. */
	public static final ConfigurationHead NONE = new ConfigurationHead(List.of());

	/** Acceptances that the row keeps; older ones are found through the objects. */
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
	 * Returns the acceptance of a number.
	 * @param number the number
	 * @return the acceptance, or empty if it is not accepted or no longer kept
	 */
	public Optional<Acceptance> findAcceptance(long number) {
		return this.recent.stream().filter((one) -> one.number() == number).findFirst();
	}

	/**
	 * Returns the head after another acceptance.
	 * @param acceptance the acceptance, not null
	 * @return the head, never null
	 * @throws IllegalArgumentException if its number is not one higher
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
	 * One accepted revision. Immutable and thread-safe.
	 *
	 * @param number the number, positive
	 * @param digest the digest of the files, not null
	 * @param author who proposed it, not null
	 * @param proposal the unique id of the proposal that won, not null
	 * @param acceptedMillis the wall clock time of the proposer in milliseconds since
	 * 1970, for display only
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
