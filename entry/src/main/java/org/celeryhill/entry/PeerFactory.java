package org.celeryhill.entry;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Supplier;

import org.celeryhill.peer.PeerNode;

/**
 * Creates the node of this process among the system's own processes.
 */
interface PeerFactory {

	/**
	 * Returns a node that is not started.
	 * @param seeds returns the addresses of entry hosts in the host list, does not block,
	 * not null
	 * @return the node, never null
	 */
	PeerNode create(Supplier<List<InetSocketAddress>> seeds);

}
