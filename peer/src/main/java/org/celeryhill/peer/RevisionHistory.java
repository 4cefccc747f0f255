package org.celeryhill.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.celeryhill.base.RevisionDocument;
import org.celeryhill.peerthrift.RevisionReply;

/**
 * Highest known revision and a short history of earlier ones, from which differences are
 * computed. The revision number only grows. Not thread-safe.
 */
final class RevisionHistory {

	/**
	 * Number of revisions kept to compute differences. At 9,700 revisions per day they
	 * cover about a minute.
	 */
	private static final int MAX_REVISIONS = 8;

	/** Kept revisions by number; the last one is the highest. */
	private final TreeMap<Long, RevisionDocument> revisions = new TreeMap<>();

	/**
	 * Adds a revision if its number is higher than the highest known one.
	 * @param document the revision
	 * @return true if it was added
	 */
	boolean addIfNewer(RevisionDocument document) {
		if (document.number() <= number()) {
			return false;
		}
		this.revisions.put(document.number(), document);
		while (this.revisions.size() > MAX_REVISIONS) {
			this.revisions.pollFirstEntry();
		}
		return true;
	}

	/**
	 * Returns the number of the highest known revision.
	 * @return the number, 0 if no revision is known
	 */
	long number() {
		return this.revisions.isEmpty() ? 0 : this.revisions.lastKey();
	}

	/**
	 * Returns the highest known revision.
	 * @return the revision, or empty before the first one
	 */
	Optional<RevisionDocument> highestRevision() {
		return Optional.ofNullable(this.revisions.lastEntry()).map(Map.Entry::getValue);
	}

	/**
	 * Creates the reply to a peer that may hold an older revision.
	 * @param known the highest revision number that the peer holds
	 * @return the difference to that revision, or the whole document if that revision is
	 * no longer kept; number 0 if there is no higher revision
	 */
	RevisionReply createReply(long known) {
		if (known >= number()) {
			return new RevisionReply(0, "", 0, Map.of(), List.of());
		}
		RevisionDocument current = this.revisions.lastEntry().getValue();
		RevisionDocument base = this.revisions.get(known);
		if (base == null) {
			return new RevisionReply(current.number(), current.digest(), 0, current.files(), List.of());
		}
		Map<String, String> changed = new HashMap<>(current.files());
		changed.entrySet().removeIf((file) -> file.getValue().equals(base.files().get(file.getKey())));
		List<String> removed = new ArrayList<>(base.files().keySet());
		removed.removeAll(current.files().keySet());
		return new RevisionReply(current.number(), current.digest(), base.number(), changed, removed);
	}

	/**
	 * Applies the reply of a peer.
	 * @param reply the reply
	 * @return the new revision, or empty if its number is not higher, the base of the
	 * difference is not kept here, or the digest does not match
	 */
	Optional<RevisionDocument> applyReply(RevisionReply reply) {
		boolean isDifference = reply.getBase() > 0;
		RevisionDocument base = this.revisions.get(reply.getBase());
		if (reply.getNumber() <= number() || (isDifference && base == null)) {
			return Optional.empty();
		}
		Map<String, String> files = new HashMap<>(isDifference ? base.files() : Map.of());
		files.keySet().removeAll(reply.getRemoved());
		files.putAll(reply.getChanged());
		RevisionDocument document = new RevisionDocument(reply.getNumber(), files);
		boolean isIntact = document.digest().equals(reply.getDigest());
		return (isIntact && addIfNewer(document)) ? Optional.of(document) : Optional.empty();
	}

}
