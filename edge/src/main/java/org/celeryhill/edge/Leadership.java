package org.celeryhill.edge;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.HostId;
import org.celeryhill.platform.ServerEntryCodec;
import org.celeryhill.state.Lease;
import org.celeryhill.state.LeaseName;
import org.celeryhill.state.LeaseRecord;
import org.celeryhill.state.LeaseStore;

/**
 * Acquires and renews the placement lease and tracks its current holder. The lease
 * identifies its holder by the address that accepts messages of other edge daemons. Must
 * be used on the event loop; blocking calls to the lease store run on a separate thread.
 */
final class Leadership {

	private static final EventLog LOG = EventLog.of(Leadership.class);

	/** Safety margin added to the minimum time between the commands of two holders. */
	private static final Duration HANDOVER_SLACK = Duration.ofMillis(300);

	/**
	 * Time without a message of the holder after which it may have failed: three
	 * heartbeat periods.
	 */
	private static final long HOLDER_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

	/**
	 * Safety factor for a holding time that is estimated from the number of renewals,
	 * since renewals that are brought forward after a pause shorten it.
	 */
	private static final int EARLY_RENEWALS_FACTOR = 2;

	private static final LeaseName LEASE_NAME = LeaseName.of("placement");

	private final ExecutorService worker = Executors.newSingleThreadExecutor((task) -> {
		Thread thread = new Thread(task, "lease");
		thread.setDaemon(true);
		return thread;
	});

	private final EventLoop loop;

	private final LeaseStore leaseStore;

	private final EdgeMetrics metrics;

	private final Duration duration;

	private final Duration handoverGap;

	private final PauseDetector pauseDetector = new PauseDetector();

	private Optional<Lease> lease = Optional.empty();

	private Optional<LeaseRecord> lastWrittenRecord = Optional.empty();

	private Optional<InetSocketAddress> holder = Optional.empty();

	private boolean hasHolderResponded;

	private long holderResponseNanos;

	private long firstCommandNanos;

	private long lastToken;

	private long lostNanos;

	private boolean isCallPending;

	private boolean isStopping;

	private long lastCallNanos;

	Leadership(EventLoop loop, LeaseStore leaseStore, EdgeMetrics metrics, Duration duration, Duration handoverGap) {
		this.loop = loop;
		this.leaseStore = leaseStore;
		this.metrics = metrics;
		this.duration = duration;
		this.handoverGap = handoverGap;
		this.lastCallNanos = System.nanoTime() - duration.toNanos();
	}

	// Renews the lease or tries to acquire it when that is due. Must be called several
	// times a second.
	void tick() {
		checkForPause();
		long now = System.nanoTime();
		if (this.lease.isPresent() && !this.lease.get().isUsable(now)) {
			LOG.warn("lease_expired", "token", this.lease.get().token().value());
			dropLease();
		}
		boolean isDue = now - this.lastCallNanos >= this.duration.toNanos() / 3
				|| this.lease.filter((held) -> !this.pauseDetector.isAfterPause(held.renewedNanos())).isPresent();
		boolean isCallNeeded = this.lease.isPresent() || !this.hasHolderResponded
				|| now - this.holderResponseNanos > HOLDER_SILENCE_NANOS;
		if (this.isCallPending || this.isStopping || !isDue || !isCallNeeded) {
			return;
		}
		this.isCallPending = true;
		this.lastCallNanos = now;
		Optional<Lease> held = this.lease;
		this.worker.execute(() -> {
			Object result = callLeaseStore(held);
			this.loop.execute(() -> handleResult(held, result));
		});
	}

	// Renews or acquires the lease. An unexpected failure is an unknown result, as the
	// next call is made only after the result of this one.
	private Object callLeaseStore(Optional<Lease> held) {
		try {
			return held.isPresent() ? this.leaseStore.renew(held.get()) : this.leaseStore.acquire(LEASE_NAME);
		}
		catch (RuntimeException ex) {
			return ex;
		}
	}

	private void checkForPause() {
		if (this.pauseDetector.checkForPause()) {
			LOG.warn("pause_suspected", "holder", this.lease.isPresent());
		}
	}

	private void handleResult(Optional<Lease> heldBefore, Object result) {
		this.isCallPending = false;
		checkForPause();
		if (result instanceof LeaseStore.Granted granted) {
			handleGranted(heldBefore, granted);
		}
		else if (result instanceof LeaseStore.HeldBy other) {
			updateHolder(other.holder());
		}
		else if (result instanceof LeaseStore.Lost) {
			LOG.warn("lease_lost", "token", heldBefore.map((held) -> held.token().value()).orElse(0L));
			dropLease();
		}
		else {
			LOG.info("lease_unknown", "result", result);
		}
	}

	private void handleGranted(Optional<Lease> heldBefore, LeaseStore.Granted granted) {
		Lease next = granted.lease();
		if (heldBefore.isEmpty()) {
			long now = System.nanoTime();
			long firstAllowedNanos = now + (isHandoverGapOver(granted) ? 0 : firstCommandDelay().toNanos());
			if (!isReacquired(next)) {
				this.firstCommandNanos = firstAllowedNanos;
			}
			LOG.info("lease_granted", "token", next.token().value(), "previous",
					granted.previous().map((one) -> one.holder().value()).orElse("none"), "commands_after_ms",
					TimeUnit.NANOSECONDS.toMillis(Math.max(0, this.firstCommandNanos - now)));
			this.metrics.setLeaseHeld(true);
		}
		this.lease = Optional.of(next);
		this.lastWrittenRecord = Optional.of(granted.written());
		this.lastToken = next.token().value();
		this.holder = Optional.empty();
		this.hasHolderResponded = false;
	}

	// Returns whether no other process held the lease since this one did. A wait for the
	// first command that had begun then continues.
	private boolean isReacquired(Lease next) {
		return this.lastToken > 0 && next.token().value() <= this.lastToken + 1;
	}

	// Returns whether commands may be sent without a wait. That is so if an earlier
	// process on this host held the lease for longer than it had to wait itself, since
	// no other host can then have sent commands recently.
	private boolean isHandoverGapOver(LeaseStore.Granted granted) {
		if (granted.previous().isEmpty()) {
			return true;
		}
		LeaseRecord previous = granted.previous().get();
		Duration heldTime = previous.duration().dividedBy(3).multipliedBy(previous.renewals());
		return previous.holder().equals(granted.written().holder())
				&& heldTime.compareTo(firstCommandDelay().multipliedBy(EARLY_RENEWALS_FACTOR)) >= 0;
	}

	// Returns the wait before the first command. It is shorter by a third of the lease
	// duration because a holder stops sending commands that long before its lease ends.
	private Duration firstCommandDelay() {
		return this.handoverGap.plus(HANDOVER_SLACK).minus(this.duration.dividedBy(3));
	}

	private void updateHolder(HostId other) {
		try {
			Optional<InetSocketAddress> address = Optional.of(ServerEntryCodec.address(other.value()));
			if (!address.equals(this.holder)) {
				LOG.info("lease_holder_seen", "holder", other);
			}
			this.holder = address;
		}
		catch (IllegalArgumentException ex) {
			LOG.warn("lease_holder_unreadable", "holder", other, "cause", ex.getMessage());
		}
	}

	// Records a response of the holder, which contains its last written lease record.
	void recordHolderResponse(LeaseRecord record) {
		if (this.lease.isEmpty()) {
			this.hasHolderResponded = true;
			this.holderResponseNanos = System.nanoTime();
			this.leaseStore.observeFromHolder(LEASE_NAME, record);
			updateHolder(record.holder());
		}
	}

	// Returns the lease record that this host wrote last, empty if it is not the holder.
	Optional<LeaseRecord> lastWrittenRecord() {
		return this.lease.isPresent() ? this.lastWrittenRecord : Optional.empty();
	}

	private void dropLease() {
		this.lease = Optional.empty();
		this.lostNanos = System.nanoTime();
		this.metrics.setLeaseHeld(false);
	}

	/**
	 * Returns the lease if a command may be sent under it now.
	 * @return the lease, empty if this host is stopping, must still wait for the commands
	 * of the previous holder or cannot be sure that it holds the lease, never null
	 */
	Optional<Lease> commandLease() {
		return usableLease().filter((held) -> System.nanoTime() - this.firstCommandNanos >= 0);
	}

	/**
	 * Returns the fencing token of the lease, even if no commands may be sent yet.
	 * @return the token, empty if this host is stopping or cannot be sure that it holds
	 * the lease, never null
	 */
	OptionalLong usableToken() {
		Optional<Lease> held = usableLease();
		return held.isPresent() ? OptionalLong.of(held.get().token().value()) : OptionalLong.empty();
	}

	private Optional<Lease> usableLease() {
		checkForPause();
		long now = System.nanoTime();
		return this.lease.filter((held) -> !this.isStopping && held.isUsable(now)
				&& this.pauseDetector.isAfterPause(held.renewedNanos()));
	}

	/**
	 * Returns whether this host holds the lease, even if it may not send commands yet.
	 * @return whether this host is the holder
	 */
	boolean isHolder() {
		return this.lease.isPresent();
	}

	/**
	 * Returns whether this host holds the lease or lost it less than one lease duration
	 * ago.
	 * @return whether this host is or recently was the holder
	 */
	boolean wasHolderRecently() {
		return this.lease.isPresent()
				|| (this.lastToken > 0 && System.nanoTime() - this.lostNanos < this.duration.toNanos());
	}

	/**
	 * Returns the address at which the holder accepts messages of other edge daemons.
	 * @return the address, empty if this host holds the lease or no holder is known,
	 * never null
	 */
	Optional<InetSocketAddress> holder() {
		return this.holder;
	}

	private void release(Lease held) {
		this.worker.execute(() -> {
			Object result = this.leaseStore.release(held);
			LOG.info("lease_released", "token", held.token().value(), "result", result);
		});
	}

	// Stops sending commands, and releases the lease after the same delay that separates
	// the last command from the end of a lease that expires.
	void stop() {
		this.isStopping = true;
		this.lease.ifPresent((held) -> this.loop.schedule(() -> release(held), this.duration.dividedBy(3).toNanos(),
				TimeUnit.NANOSECONDS));
		dropLease();
	}

}
