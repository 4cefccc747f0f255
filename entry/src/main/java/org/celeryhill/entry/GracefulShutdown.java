package org.celeryhill.entry;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.celeryhill.base.EventLog;

/**
 * Stops a daemon without interrupting requests. It reports the daemon as not ready, gives
 * the load balancer time to react, stops admission and waits for the open requests.
 * Streams that exceed the drain timeout are handed over to other daemons, and claimed
 * calls are completed and their outcomes stored.
 */
final class GracefulShutdown {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(GracefulShutdown.class);

	/** Time between two checks for requests that still run. */
	private static final Duration POLL_PERIOD = Duration.ofMillis(20);

	/** Maximum time for writing the last events after the streams were handed over. */
	private static final Duration FLUSH_TIMEOUT = Duration.ofSeconds(2);

	/** Daemon to stop. */
	private final EntryDaemon daemon;

	/** Settings of the daemon. */
	private final EntrySettings settings;

	GracefulShutdown(EntryDaemon daemon, EntrySettings settings) {
		this.daemon = Objects.requireNonNull(daemon, "daemon");
		this.settings = Objects.requireNonNull(settings, "settings");
	}

	/**
	 * Runs the shutdown. Blocks until the daemon is closed.
	 * @return true if all requests ended within the drain timeout
	 */
	boolean run() {
		LOG.info("shutdown_started", "open", this.daemon.rootHandler().openRequests());
		this.daemon.markNotReady();
		pause(this.settings.balancerDelay);
		this.daemon.rootHandler().stopAdmission();
		boolean isDrained = await(this.settings.drainTimeout, this::isIdle);
		if (!isDrained) {
			LOG.info("streams_handed_over", "streams", this.daemon.relays().size());
			this.daemon.relays().handOverAll();
			Duration claimTimeout = this.settings.callTimeout.plus(this.settings.storeTimeout.multipliedBy(2));
			await(claimTimeout, () -> this.daemon.claimedCalls().heldClaims() == 0);
			await(FLUSH_TIMEOUT, this::isIdle);
		}
		LOG.info("shutdown_finished", "drained", isDrained, "open", this.daemon.rootHandler().openRequests(), "claims",
				this.daemon.claimedCalls().heldClaims());
		this.daemon.close();
		return isDrained;
	}

	private boolean isIdle() {
		return this.daemon.rootHandler().openRequests() == 0 && this.daemon.relays().size() == 0
				&& this.daemon.claimedCalls().heldClaims() == 0;
	}

	private static boolean await(Duration timeout, BooleanSupplier condition) {
		long polls = timeout.toMillis() / POLL_PERIOD.toMillis();
		for (long i = 0; i <= polls; i++) {
			if (condition.getAsBoolean()) {
				return true;
			}
			pause(POLL_PERIOD);
		}
		return condition.getAsBoolean();
	}

	private static void pause(Duration time) {
		try {
			// Only the thread that runs the shutdown waits here, so it may block.
			new CountDownLatch(1).await(time.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
