package org.celeryhill.peer;

import java.net.InetSocketAddress;

import org.celeryhill.peerthrift.Digest;
import org.celeryhill.peerthrift.MemberRecord;
import org.celeryhill.peerthrift.SyncRequest;

/**
 * Call to a peer that the gossip protocol requests from the transport.
 */
sealed interface OutgoingCall {

	/**
	 * Returns the address of the peer.
	 * @return the address
	 */
	InetSocketAddress target();

	/**
	 * Exchange of digests.
	 *
	 * @param target the address of the peer
	 * @param digest the digest of this process
	 */
	record Exchange(InetSocketAddress target, Digest digest) implements OutgoingCall {

	}

	/**
	 * Announcement of a revision.
	 *
	 * @param target the address of the peer
	 * @param revision the number of the revision
	 * @param sender the record of this process
	 */
	record Announce(InetSocketAddress target, long revision, MemberRecord sender) implements OutgoingCall {

	}

	/**
	 * Request for a higher revision.
	 *
	 * @param target the address of the peer
	 * @param heldRevision the highest revision number that this process holds
	 */
	record Fetch(InetSocketAddress target, long heldRevision) implements OutgoingCall {

	}

	/**
	 * Request for the members of the data centres for which the membership tables differ.
	 *
	 * @param target the address of the peer
	 * @param request the hashes of the membership table of this process
	 */
	record Sync(InetSocketAddress target, SyncRequest request) implements OutgoingCall {

	}

}
