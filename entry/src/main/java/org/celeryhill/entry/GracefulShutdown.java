package org.celeryhill.entry;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.celeryhill.base.EventLog;

/**
 * Stops a daemon without interrupting a request: readiness becomes false, the load
 * balancer gets time to react, admission stops, requests finish, streams that take too
 * long are handed over, claimed calls are finished and stored.
 */
final class GracefulShutdown {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(GracefulShutdown.class);

	/** Time between two looks at what still runs. */
	private static final Duration LOOK_PERIOD = Duration.ofMillis(20);

	/** Time for writing the last events after the hand-over. */
	private static final Duration FLUSH_TIME = Duration.ofSeconds(2);

	/** Daemon. */
	private final EntryDaemon daemon;

	/** Settings. */
	private final EntrySettings settings;

	GracefulShutdown(EntryDaemon daemon, EntrySettings settings) {
		this.daemon = Objects.requireNonNull(daemon, "daemon");
		this.settings = Objects.requireNonNull(settings, "settings");
	}

	/**
	 * Runs the shutdown. Blocks.
	 * @return whether all requests had ended within the drain timeout
	 */
	boolean run() {
		LOG.info("shutdown_started", "open", this.daemon.root().openRequests());
		this.daemon.setNotReady();
		pause(this.settings.balancerDelay);
		this.daemon.root().stopAdmission();
		boolean isDrained = await(this.settings.drainTimeout, this::isIdle);
		if (!isDrained) {
			LOG.info("streams_handed_over", "streams", this.daemon.relays().size());
			this.daemon.relays().handOverAll();
			Duration claimTime = this.settings.callTimeout.plus(this.settings.storeTimeout.multipliedBy(2));
			await(claimTime, () -> this.daemon.claims().heldClaims() == 0);
			await(FLUSH_TIME, this::isIdle);
		}
		LOG.info("shutdown_finished", "drained", isDrained, "open", this.daemon.root().openRequests(), "claims",
				this.daemon.claims().heldClaims());
		this.daemon.close();
		return isDrained;
	}

	private boolean isIdle() {
		return this.daemon.root().openRequests() == 0 && this.daemon.relays().size() == 0
				&& this.daemon.claims().heldClaims() == 0;
	}

	private static boolean await(Duration longest, BooleanSupplier condition) {
		long looks = longest.toMillis() / LOOK_PERIOD.toMillis();
		for (long i = 0; i <= looks; i++) {
			if (condition.getAsBoolean()) {
				return true;
			}
			pause(LOOK_PERIOD);
		}
		return condition.getAsBoolean();
	}

	private static void pause(Duration time) {
		try {
			// The shutdown itself is what waits, so it may block its own thread.
			new CountDownLatch(1).await(time.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
