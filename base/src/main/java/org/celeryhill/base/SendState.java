package org.celeryhill.base;

import java.nio.channels.SelectionKey;

/**
 * What the operating system knows of the bytes that were written to a TCP connection.
 */
public enum SendState {

	/**
	 * The connection was reset or has failed in another way.
	 */
	RESET,

	/**
	 * Bytes are still on their way, so that the other system can answer them with a
	 * reset.
	 */
	PENDING,

	/**
	 * The other system has acknowledged the bytes, except for one segment at most.
	 */
	DELIVERED;

	/** The operations of which a {@link SendStateProbe} asks whether they are ready. */
	static final int PROBED_OPERATIONS = SelectionKey.OP_CONNECT | SelectionKey.OP_WRITE;

	// An established connection is ready to connect only if the system reports an error
	// or a hang-up, for which a selector sets all operations.
	static SendState of(int readyOperations) {
		if ((readyOperations & SelectionKey.OP_CONNECT) != 0) {
			return RESET;
		}
		return ((readyOperations & SelectionKey.OP_WRITE) != 0) ? DELIVERED : PENDING;
	}

}
