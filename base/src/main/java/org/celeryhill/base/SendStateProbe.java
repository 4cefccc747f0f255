package org.celeryhill.base;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.Objects;

/**
 * Asks the operating system for the state of the bytes that were written to a connection.
 * A reset behind the regular end of a connection does not show in reads, as the end hides
 * it. Not thread-safe.
 */
public final class SendStateProbe implements AutoCloseable {

	/** The system raises it to its minimum, which a few KB of pending bytes exceed. */
	private static final int SMALLEST_SEND_BUFFER_BYTES = 1;

	private final Selector selector;

	private SendStateProbe(Selector selector) {
		this.selector = selector;
	}

	/**
	 * Opens a probe. It holds a selector of its own.
	 * @return the probe, never null
	 * @throws IOException if the system provides no selector
	 */
	public static SendStateProbe open() throws IOException {
		return new SendStateProbe(Selector.open());
	}

	/**
	 * Returns whether bytes that were written to a connection are still on their way.
	 * Does not block. Reduces the send buffer of the connection to the minimum, after
	 * which the system reports it as writable only if hardly any byte is pending, so that
	 * nothing should be written any more.
	 * @param channel the connection, in non-blocking mode, not null
	 * @return the state, never null
	 * @throws IOException if the connection is closed or the system cannot be asked
	 */
	public SendState probe(SocketChannel channel) throws IOException {
		Objects.requireNonNull(channel, "channel");
		channel.setOption(StandardSocketOptions.SO_SNDBUF, SMALLEST_SEND_BUFFER_BYTES);
		return SendState.of(readyOperations(channel));
	}

	/**
	 * Returns whether a connection was reset. Does not block and does not change the
	 * connection.
	 * @param channel the connection, in non-blocking mode, not null
	 * @return true if the connection was reset or has failed in another way
	 * @throws IOException if the connection is closed or the system cannot be asked
	 */
	public boolean isReset(SocketChannel channel) throws IOException {
		Objects.requireNonNull(channel, "channel");
		return SendState.of(readyOperations(channel)) == SendState.RESET;
	}

	private int readyOperations(SocketChannel channel) throws IOException {
		SelectionKey key = channel.register(this.selector, SendState.PROBED_OPERATIONS);
		try {
			this.selector.selectNow();
			return key.readyOps();
		}
		finally {
			deregister(key);
		}
	}

	// A connection is not closed in the system before it has left all selectors.
	private void deregister(SelectionKey key) throws IOException {
		key.cancel();
		this.selector.selectNow();
	}

	@Override
	public void close() throws IOException {
		this.selector.close();
	}

}
