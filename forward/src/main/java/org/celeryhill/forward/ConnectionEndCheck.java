package org.celeryhill.forward;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.celeryhill.base.SendState;

/**
 * Finds out whether the regular end of a connection is the end of a response without
 * length. The system of a server that crashes may end its connection regularly as well,
 * and resets it when further bytes of the request arrive. The end counts if the request
 * was delivered, or if no reset has arrived in time. Must be used on the event loop.
 */
final class ConnectionEndCheck {

	/**
	 * Time after the end in which a reset can arrive while bytes of the request are on
	 * their way. It covers a server that closes its connection in two steps.
	 */
	private static final Duration MIN_RESET_WAIT = Duration.ofMillis(20);

	private static final Duration FIRST_DELAY = Duration.ofMillis(1);

	private final SendStateSource connection;

	private final EventLoop loop;

	private final Duration roundTrip;

	private final Listener listener;

	private final long startNanos = System.nanoTime();

	private Duration delay = FIRST_DELAY;

	/** Whether the last segment of a request that is delivered has arrived, too. */
	private boolean isArrivalExpected;

	private boolean isEnded;

	/**
	 * Creates a check.
	 * @param connection the connection that has ended regularly, not null
	 * @param loop the event loop of the connection, not null
	 * @param roundTrip the round-trip time of the connection, not null
	 * @param listener receives the result, not null
	 */
	ConnectionEndCheck(SendStateSource connection, EventLoop loop, Duration roundTrip, Listener listener) {
		this.connection = connection;
		this.loop = loop;
		this.roundTrip = roundTrip;
		this.listener = listener;
	}

	/**
	 * Starts the check. The result may be known at once.
	 * @param isRequestArrived whether the last segment of the request was sent long
	 * enough ago to have arrived, so that the request is delivered or is held back
	 */
	void start(boolean isRequestArrived) {
		this.isArrivalExpected = isRequestArrived;
		Duration twoRoundTrips = this.roundTrip.multipliedBy(2);
		Duration wait = (twoRoundTrips.compareTo(MIN_RESET_WAIT) > 0) ? twoRoundTrips : MIN_RESET_WAIT;
		look();
		if (!this.isEnded) {
			schedule(this::endWait, wait);
		}
	}

	private void look() {
		if (this.isEnded) {
			return;
		}
		SendState state = currentState();
		if (state == SendState.RESET) {
			end(false);
		}
		else if (state == SendState.DELIVERED && this.isArrivalExpected) {
			end(true);
		}
		else {
			this.isArrivalExpected = state == SendState.DELIVERED;
			scheduleLook();
		}
	}

	// The last segment of a request that is delivered has arrived a round trip later.
	private void scheduleLook() {
		if (this.isArrivalExpected) {
			schedule(this::look, this.roundTrip);
			return;
		}
		schedule(this::look, this.delay);
		this.delay = this.delay.multipliedBy(2);
	}

	private void endWait() {
		if (!this.isEnded) {
			end(currentState() != SendState.RESET);
		}
	}

	private void schedule(Runnable task, Duration after) {
		this.loop.schedule(task, after.toNanos(), TimeUnit.NANOSECONDS);
	}

	private SendState currentState() {
		try {
			return this.connection.sendState();
		}
		catch (IOException ex) {
			return SendState.RESET;
		}
	}

	private void end(boolean isRegular) {
		this.isEnded = true;
		this.listener.onEndChecked(isRegular, Duration.ofNanos(System.nanoTime() - this.startNanos));
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
		 * @param time the time that the check took, never null
		 */
		void onEndChecked(boolean isRegular, Duration time);

	}

}
