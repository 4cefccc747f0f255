package org.celeryhill.entry;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Supplier;

import org.celeryhill.peer.PeerNode;

/**
 * Creates the peer node of this process.
 */
interface PeerFactory {

	/**
	 * Returns a node that is not started yet.
	 * @param seeds returns the peer addresses of the entry hosts in the host list, must
	 * not block, not null
	 * @return the node, never null
	 */
	PeerNode create(Supplier<List<InetSocketAddress>> seeds);

}
