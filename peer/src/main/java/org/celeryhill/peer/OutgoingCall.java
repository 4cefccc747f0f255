package org.celeryhill.peer;

import java.net.InetSocketAddress;

import org.celeryhill.peerthrift.Digest;
import org.celeryhill.peerthrift.MemberRecord;
import org.celeryhill.peerthrift.SyncRequest;

/**
 * A call that the protocol state asks the transport to make.
 */
sealed interface OutgoingCall {

	/**
	 * Returns where to send the call.
	 * @return the address
	 */
	InetSocketAddress target();

	/**
	 * Exchange of digests.
	 *
	 * @param target where to send it
	 * @param digest the digest
	 */
	record Exchange(InetSocketAddress target, Digest digest) implements OutgoingCall {

	}

	/**
	 * Announcement of a revision.
	 *
	 * @param target where to send it
	 * @param revision the number
	 * @param sender this process
	 */
	record Announce(InetSocketAddress target, long revision, MemberRecord sender) implements OutgoingCall {

	}

	/**
	 * Request for a higher revision.
	 *
	 * @param target where to send it
	 * @param heldRevision the highest number held
	 */
	record Fetch(InetSocketAddress target, long heldRevision) implements OutgoingCall {

	}

	/**
	 * Request for members where tables differ.
	 *
	 * @param target where to send it
	 * @param request the hashes of this process's table
	 */
	record Sync(InetSocketAddress target, SyncRequest request) implements OutgoingCall {

	}

}
