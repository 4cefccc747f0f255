package org.celeryhill.planner;

import java.util.Objects;

import org.celeryhill.peer.ThriftPeerNode;

/**
 * Peer node of this process with the seed addresses that it contacts. Immutable and
 * thread-safe.
 *
 * @param node the peer node, not started, not null
 * @param seeds the seed addresses of the node, not null
 */
record SeededPeerNode(ThriftPeerNode node, PeerSeeds seeds) {

	SeededPeerNode {
		Objects.requireNonNull(node, "node");
		Objects.requireNonNull(seeds, "seeds");
	}

}
