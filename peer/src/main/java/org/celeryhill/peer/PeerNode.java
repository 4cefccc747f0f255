package org.celeryhill.peer;

import java.util.List;
import java.util.Optional;

import io.reactivex.rxjava3.core.Flowable;
import org.celeryhill.base.RevisionDocument;
import org.celeryhill.base.UsageTotals;

/**
 * Peer node of this process, which exchanges membership, usage totals and configuration
 * revisions with the other entry and planner processes. Thread-safe.
 */
public interface PeerNode extends AutoCloseable {

	/** Starts to listen and to exchange digests with peers. */
	void start();

	/**
	 * Returns the processes that are considered alive, including this one.
	 * @return the members ordered by host id, never null
	 */
	List<Member> members();

	/**
	 * Sets the usage totals of this process, which are sent to peers.
	 * @param totals the totals, not null
	 */
	void publishUsage(UsageTotals totals);

	/**
	 * Returns the usage totals of other entry daemons and the aggregates of other data
	 * centres as they arrive.
	 * @return a hot stream that never signals an error
	 */
	Flowable<UsageTotals> usage();

	/**
	 * Disseminates an accepted revision. A revision that is not newer than the highest
	 * known one is ignored.
	 * @param revision the revision with its number, not null
	 */
	void offerRevision(RevisionDocument revision);

	/**
	 * Returns the highest revision known to this process.
	 * @return the revision, or empty before the first one
	 */
	Optional<RevisionDocument> revision();

	/**
	 * Returns the known revisions, starting with the highest one at subscription. Each
	 * has a higher number than the one before; a slow subscriber gets only the latest.
	 * @return a stream that never signals an error
	 */
	Flowable<RevisionDocument> revisions();

	/** Leaves the group: notifies a few peers and stops listening. */
	@Override
	void close();

}
