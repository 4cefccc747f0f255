package org.celeryhill.traffic;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * What a host has seen that tells for or against a prompt part as the cause of crashes.
 * Immutable and thread-safe.
 */
public sealed interface CrashEvidence {

	/**
	 * Returns when it was seen, in nanoseconds on the clock of the host that keeps it.
	 * @return the time
	 */
	long nanos();

	/**
	 * Returns the same evidence with another time.
	 * @param newNanos the time in nanoseconds
	 * @return the evidence, never null
	 */
	CrashEvidence at(long newNanos);

	/**
	 * A backend server process ended.
	 *
	 * @param server identifies the process among all processes of all backend servers,
	 * not null
	 * @param candidates the traits of the requests that may have ended it, each in the
	 * order of {@link RequestTraits#all()}, not null
	 * @param repeatedParts the parts of those requests that were sent again after another
	 * server had not completed them, not null
	 * @param nanos when it ended
	 */
	record Crash(String server, Set<List<Long>> candidates, Set<Long> repeatedParts,
			long nanos) implements CrashEvidence {

		/**
		 * Creates a crash with copies of the sets.
		 */
		public Crash {
			Objects.requireNonNull(server, "server");
			candidates = Set.copyOf(candidates);
			repeatedParts = Set.copyOf(repeatedParts);
		}

		/**
		 * Returns the parts of all candidates.
		 * @return the hashes of the parts, never null
		 */
		public Set<Long> parts() {
			Set<Long> parts = new HashSet<>();
			this.candidates.forEach(parts::addAll);
			return parts;
		}

		@Override
		public Crash at(long newNanos) {
			return new Crash(this.server, this.candidates, this.repeatedParts, newNanos);
		}

	}

	/**
	 * A request with a prompt part was served.
	 *
	 * @param part the hash of the part
	 * @param nanos when the request was sent to its backend server
	 */
	record Success(long part, long nanos) implements CrashEvidence {

		@Override
		public Success at(long newNanos) {
			return new Success(this.part, newNanos);
		}

	}

}
