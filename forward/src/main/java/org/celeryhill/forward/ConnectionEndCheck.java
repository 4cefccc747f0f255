package org.celeryhill.forward;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.celeryhill.base.ConnectionEnd;
import org.celeryhill.base.SendState;

/**
 * Looks at a connection that has ended regularly until it is known whether its end is
 * that of a response without length. Must be used on the event loop.
 */
final class ConnectionEndCheck {

	private final EventLoop loop;

	private final SendStateSource connection;

	private final ConnectionEnd end;

	private final Listener listener;

	/**
	 * Creates a check.
	 * @param loop the event loop of the connection, not null
	 * @param connection the connection, not null
	 * @param end decides on the end, not null
	 * @param listener receives the result, not null
	 */
	ConnectionEndCheck(EventLoop loop, SendStateSource connection, ConnectionEnd end, Listener listener) {
		this.loop = loop;
		this.connection = connection;
		this.end = end;
		this.listener = listener;
	}

	/**
	 * Looks at the connection now and, if needed, again later.
	 */
	void look() {
		ConnectionEnd.Verdict verdict = this.end.judge(currentState(), this.loop.ticker().nanoTime());
		if (verdict == ConnectionEnd.Verdict.UNDECIDED) {
			this.loop.schedule(this::look, ConnectionEnd.LOOK_PERIOD.toNanos(), TimeUnit.NANOSECONDS);
		}
		else {
			this.listener.onEndChecked(verdict == ConnectionEnd.Verdict.REGULAR);
		}
	}

	private SendState currentState() {
		try {
			return this.connection.sendState();
		}
		catch (IOException ex) {
			return SendState.RESET;
		}
	}

	/**
	 * Knows the state of what was written to a connection.
	 */
	interface SendStateSource {

		/**
		 * Returns the current state.
		 * @return the state, never null
		 * @throws IOException if the connection is closed
		 */
		SendState sendState() throws IOException;

	}

	/**
	 * Receives the result of a check.
	 */
	interface Listener {

		/**
		 * Called once on the event loop.
		 * @param isRegular whether the end of the connection is that of the response
		 */
		void onEndChecked(boolean isRegular);

	}

}
