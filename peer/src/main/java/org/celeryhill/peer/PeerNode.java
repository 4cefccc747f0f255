package org.celeryhill.peer;

import java.util.List;
import java.util.Optional;

import io.reactivex.rxjava3.core.Flowable;
import org.celeryhill.base.RevisionDocument;
import org.celeryhill.base.UsageTotals;

/**
 * This process among the system's own processes. Thread-safe.
 */
public interface PeerNode extends AutoCloseable {

	/**
	 * Starts to listen and to exchange digests.
	 */
	void start();

	/**
	 * Returns the processes that are believed to be alive, this one included.
	 * @return the members in order of host id, never null
	 */
	List<Member> members();

	/**
	 * Sets the usage totals to spread.
	 * @param totals the totals, not null
	 */
	void publishUsage(UsageTotals totals);

	/**
	 * Returns the totals of other entry daemons as they arrive.
	 * @return a hot stream that never fails
	 */
	Flowable<UsageTotals> usage();

	/**
	 * Spreads an accepted revision. Lower numbers than the highest known are ignored.
	 * @param revision the revision with its number, not null
	 */
	void offerRevision(RevisionDocument revision);

	/**
	 * Returns the highest revision known to this process.
	 * @return the revision, or empty before the first
	 */
	Optional<RevisionDocument> revision();

	/**
	 * Returns revisions as they become known, each with a higher number than the one
	 * before; starts with the highest known one.
	 * @return a stream that never fails
	 */
	Flowable<RevisionDocument> revisions();

	/**
	 * Leaves: tells a few peers and stops listening.
	 */
	@Override
	void close();

}
