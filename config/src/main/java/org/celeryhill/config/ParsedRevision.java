package org.celeryhill.config;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.celeryhill.base.Finding;

/**
 * Result of parsing a revision document. Immutable and thread-safe.
 *
 * @param revision the revision, empty if any finding is an error, not null
 * @param findings all findings in the order in which they were found, not null
 */
public record ParsedRevision(Optional<Revision> revision, List<Finding> findings) {

	/** Creates a result and copies the findings. */
	public ParsedRevision {
		Objects.requireNonNull(revision, "revision");
		findings = List.copyOf(findings);
	}

	/**
	 * Returns whether the document can be put into effect.
	 * @return true if no finding is an error
	 */
	public boolean isValid() {
		return this.revision.isPresent();
	}

}
