package org.celeryhill.planner;

import java.util.Objects;

import org.celeryhill.peer.ThriftPeerNode;

/**
 * Exchange with the other processes. Immutable and thread-safe.
 *
 * @param node the node, not started, not null
 * @param seeds the addresses that the node tries, not null
 */
record SeededPeerNode(ThriftPeerNode node, PeerSeeds seeds) {

	SeededPeerNode {
		Objects.requireNonNull(node, "node");
		Objects.requireNonNull(seeds, "seeds");
	}

}
