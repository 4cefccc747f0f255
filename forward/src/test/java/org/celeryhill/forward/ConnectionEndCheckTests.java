package org.celeryhill.forward;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.celeryhill.base.ConnectionEnd;
import org.celeryhill.base.SendState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link ConnectionEndCheck} and {@link ConnectionEnd} in virtual time.
 */
class ConnectionEndCheckTests {

	private static final Duration ROUND_TRIP = Duration.ofMillis(2);

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final List<Boolean> results = new ArrayList<>();

	private SendState state = SendState.PENDING;

	@BeforeEach
	void stopTime() {
		this.channel.freezeTime();
	}

	@AfterEach
	void close() {
		this.channel.close();
	}

	private void start(boolean isRequestArrived, Duration roundTrip) {
		startWith(() -> this.state, isRequestArrived, roundTrip);
	}

	private void startWith(ConnectionEndCheck.SendStateSource source, boolean isRequestArrived, Duration roundTrip) {
		long now = this.channel.eventLoop().ticker().nanoTime();
		ConnectionEnd end = isRequestArrived ? ConnectionEnd.afterArrival(now, roundTrip)
				: ConnectionEnd.at(now, roundTrip);
		new ConnectionEndCheck(this.channel.eventLoop(), source, end, this.results::add).look();
	}

	// Advances in steps, as tasks schedule others.
	private void advance(long millis) {
		for (long i = 0; i < millis; i++) {
			this.channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
			this.channel.runScheduledPendingTasks();
		}
	}

	// Guards against a wait for a reset that cannot come any more.
	@Test
	void deliveredRequestThatArrivedEndsAtSecondLook() {
		this.state = SendState.DELIVERED;
		start(true, Duration.ofMillis(25));
		assertThat(this.results).isEmpty();
		advance(1);
		assertThat(this.results).containsExactly(true);
	}

	// Guards against a reset right behind the end that the first look comes too early
	// for.
	@Test
	void resetOfUnreadRequestThatArrivedIsNoEnd() {
		this.state = SendState.DELIVERED;
		start(true, ROUND_TRIP);
		this.state = SendState.RESET;
		advance(1);
		assertThat(this.results).containsExactly(false);
	}

	// Guards against an end that counts while the last segment is on its way.
	@Test
	void deliveredRequestEndsAfterRoundTrip() {
		this.state = SendState.DELIVERED;
		start(false, ROUND_TRIP);
		advance(1);
		assertThat(this.results).isEmpty();
		advance(1);
		assertThat(this.results).containsExactly(true);
	}

	// Guards against the same where the last segment meets a server that is gone.
	@Test
	void resetOfLastSegmentIsNoEnd() {
		this.state = SendState.DELIVERED;
		start(false, ROUND_TRIP);
		this.state = SendState.RESET;
		advance(2);
		assertThat(this.results).containsExactly(false);
	}

	// Guards against an end that counts although a short request is held back.
	@Test
	void pendingRequestIsNotTakenForArrived() {
		start(true, ROUND_TRIP);
		advance(19);
		assertThat(this.results).isEmpty();
	}

	// Guards against a sound response that waits until the server has read the request.
	@Test
	void pendingRequestEndsAfterWait() {
		start(false, ROUND_TRIP);
		advance(19);
		assertThat(this.results).isEmpty();
		advance(1);
		assertThat(this.results).containsExactly(true);
		advance(100);
		assertThat(this.results).hasSize(1);
	}

	// Guards against a reset that is missed because it arrives right before the wait
	// ends.
	@Test
	void resetWithinWaitIsNoEnd() {
		start(false, ROUND_TRIP);
		advance(19);
		this.state = SendState.RESET;
		advance(1);
		assertThat(this.results).containsExactly(false);
	}

	// Guards against a reset that is missed because the link is long.
	@Test
	void waitCoversTwoRoundTrips() {
		start(false, Duration.ofMillis(25));
		advance(49);
		assertThat(this.results).isEmpty();
		this.state = SendState.RESET;
		advance(1);
		assertThat(this.results).containsExactly(false);
	}

	// Guards against an end that counts although nothing is known of the connection.
	@Test
	void closedConnectionIsNoEnd() {
		startWith(() -> {
			throw new IOException("closed");
		}, true, ROUND_TRIP);
		assertThat(this.results).containsExactly(false);
	}

}
