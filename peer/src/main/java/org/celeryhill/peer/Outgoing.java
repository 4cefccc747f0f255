package org.celeryhill.peer;

import java.net.InetSocketAddress;

import org.celeryhill.peerthrift.Digest;
import org.celeryhill.peerthrift.MemberRecord;
import org.celeryhill.peerthrift.SyncRequest;

/**
 * A call that the protocol state asks the transport to make.
 */
sealed interface Outgoing {

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
	record Exchange(InetSocketAddress target, Digest digest) implements Outgoing {

	}

	/**
	 * Announcement of a revision.
	 *
	 * @param target where to send it
	 * @param revision the number
	 * @param sender this process
	 */
	record Announce(InetSocketAddress target, long revision, MemberRecord sender) implements Outgoing {

	}

	/**
	 * Request for a higher revision.
	 *
	 * @param target where to send it
	 * @param known the highest number held
	 */
	record Fetch(InetSocketAddress target, long known) implements Outgoing {

	}

	/**
	 * Request for members where tables differ.
	 *
	 * @param target where to send it
	 * @param request the hashes of this process's table
	 */
	record Sync(InetSocketAddress target, SyncRequest request) implements Outgoing {

	}

}
