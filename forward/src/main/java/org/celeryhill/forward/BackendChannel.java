package org.celeryhill.forward;

import java.io.IOException;

import io.netty.channel.socket.nio.NioSocketChannel;
import org.celeryhill.base.SendState;
import org.celeryhill.base.SendStateProbe;

/**
 * The socket of a connection to a backend server.
 */
final class BackendChannel extends NioSocketChannel {

	/**
	 * Returns the state of what was written.
	 * @param probe asks the system, not null
	 * @param isWritten whether everything has been handed to the system; nothing may be
	 * written after that
	 * @return the state, never null
	 * @throws IOException if the connection is closed
	 */
	SendState sendState(SendStateProbe probe, boolean isWritten) throws IOException {
		if (isWritten) {
			return probe.probe(javaChannel());
		}
		return probe.isReset(javaChannel()) ? SendState.RESET : SendState.PENDING;
	}

}
