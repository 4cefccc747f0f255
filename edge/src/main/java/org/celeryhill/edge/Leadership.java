package org.celeryhill.edge;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
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
 * Competes for the placement lease and knows who holds it. The lease names its holder by
 * the address for other edge daemons. Must be used on the event loop; calls to the store
 * run on a thread of their own.
 */
final class Leadership {

	private static final EventLog LOG = EventLog.of(Leadership.class);

	/** Added to the time between the commands of two holders. */
	private static final Duration TURN_SLACK = Duration.ofMillis(300);

	/**
	 * A holder that was silent for longer may be gone; three beats fit into this time.
	 */
	private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

	/**
	 * Renewals that come early after a pause shorten the time that their number stands
	 * for.
	 */
	private static final int EARLY_RENEWALS_FACTOR = 2;

	private static final LeaseName NAME = LeaseName.of("placement");

	private final ExecutorService worker = Executors.newSingleThreadExecutor((task) -> {
		Thread thread = new Thread(task, "lease");
		thread.setDaemon(true);
		return thread;
	});

	private final EventLoop loop;

	private final LeaseStore leases;

	private final EdgeMetrics metrics;

	private final Duration duration;

	private final Duration turn;

	private final PauseDetector pauses = new PauseDetector();

	private Optional<Lease> lease = Optional.empty();

	private Optional<LeaseRecord> written = Optional.empty();

	private Optional<InetSocketAddress> holder = Optional.empty();

	private boolean isHolderHeard;

	private long heardNanos;

	private long firstCommandNanos;

	private long lastToken;

	private long lostNanos;

	private boolean isCalling;

	private boolean isStopping;

	private long lastCallNanos;

	Leadership(EventLoop loop, LeaseStore leases, EdgeMetrics metrics, Duration duration, Duration turn) {
		this.loop = loop;
		this.leases = leases;
		this.metrics = metrics;
		this.duration = duration;
		this.turn = turn;
		this.lastCallNanos = System.nanoTime() - duration.toNanos();
	}

	// Renews or asks for the lease when that is due. Called several times a second.
	void tick() {
		look();
		long now = System.nanoTime();
		if (this.lease.isPresent() && !this.lease.get().isUsable(now)) {
			LOG.warn("lease_expired", "token", this.lease.get().token().value());
			lost();
		}
		boolean isDue = now - this.lastCallNanos >= this.duration.toNanos() / 3
				|| this.lease.filter((held) -> !this.pauses.isAfterPause(held.renewedNanos())).isPresent();
		boolean isSilent = this.lease.isPresent() || !this.isHolderHeard || now - this.heardNanos > SILENCE_NANOS;
		if (this.isCalling || this.isStopping || !isDue || !isSilent) {
			return;
		}
		this.isCalling = true;
		this.lastCallNanos = now;
		Optional<Lease> held = this.lease;
		this.worker.execute(() -> {
			Object result = held.isPresent() ? this.leases.renew(held.get()) : this.leases.acquire(NAME);
			this.loop.execute(() -> called(held, result));
		});
	}

	private void look() {
		if (this.pauses.look()) {
			LOG.warn("pause_suspected", "holder", this.lease.isPresent());
		}
	}

	private void called(Optional<Lease> before, Object result) {
		this.isCalling = false;
		look();
		if (result instanceof LeaseStore.Granted granted) {
			granted(before, granted);
		}
		else if (result instanceof LeaseStore.HeldBy other) {
			heldBy(other.holder());
		}
		else if (result instanceof LeaseStore.Lost) {
			LOG.warn("lease_lost", "token", before.map((held) -> held.token().value()).orElse(0L));
			lost();
		}
		else {
			LOG.info("lease_unknown", "result", result);
		}
	}

	private void granted(Optional<Lease> before, LeaseStore.Granted granted) {
		Lease next = granted.lease();
		if (before.isEmpty()) {
			long now = System.nanoTime();
			long first = now + (isTurnOver(granted) ? 0 : turnWait().toNanos());
			if (!isOwnAgain(next)) {
				this.firstCommandNanos = first;
			}
			LOG.info("lease_granted", "token", next.token().value(), "previous",
					granted.previous().map((one) -> one.holder().value()).orElse("none"), "commands_after_ms",
					TimeUnit.NANOSECONDS.toMillis(Math.max(0, this.firstCommandNanos - now)));
			this.metrics.leaseHeld(true);
		}
		this.lease = Optional.of(next);
		this.written = Optional.of(granted.written());
		this.lastToken = next.token().value();
		this.holder = Optional.empty();
		this.isHolderHeard = false;
	}

	// Nobody held the lease since this process did; a wait that was under way goes on.
	private boolean isOwnAgain(Lease next) {
		return this.lastToken > 0 && next.token().value() <= this.lastToken + 1;
	}

	// Nobody else can have sent commands lately if an earlier process on this host held
	// the lease for longer than the wait of its own turn.
	private boolean isTurnOver(LeaseStore.Granted granted) {
		if (granted.previous().isEmpty()) {
			return true;
		}
		LeaseRecord previous = granted.previous().get();
		Duration held = previous.duration().dividedBy(3).multipliedBy(previous.renewals());
		return previous.holder().equals(granted.written().holder())
				&& held.compareTo(turnWait().multipliedBy(EARLY_RENEWALS_FACTOR)) >= 0;
	}

	// A holder stops to send commands a third of the duration before its lease ends.
	private Duration turnWait() {
		return this.turn.plus(TURN_SLACK).minus(this.duration.dividedBy(3));
	}

	private void heldBy(HostId other) {
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

	// Notes that the holder has answered, with the row of the lease as it wrote it last.
	void hear(LeaseRecord record) {
		if (this.lease.isEmpty()) {
			this.isHolderHeard = true;
			this.heardNanos = System.nanoTime();
			this.leases.observeFromHolder(NAME, record);
			heldBy(record.holder());
		}
	}

	// Returns the row of the lease as this host wrote it last, if it holds the lease.
	Optional<LeaseRecord> written() {
		return this.lease.isPresent() ? this.written : Optional.empty();
	}

	private void lost() {
		this.lease = Optional.empty();
		this.lostNanos = System.nanoTime();
		this.metrics.leaseHeld(false);
	}

	/**
	 * Returns the lease if a command may be sent under it at this moment.
	 * @return the lease, empty if this host does not hold it beyond doubt
	 */
	Optional<Lease> commandLease() {
		look();
		long now = System.nanoTime();
		return this.lease.filter((held) -> !this.isStopping && held.isUsable(now) && now - this.firstCommandNanos >= 0
				&& this.pauses.isAfterPause(held.renewedNanos()));
	}

	/**
	 * Returns whether this host holds the lease, though it may not send commands yet.
	 * @return whether it does
	 */
	boolean isHolder() {
		return this.lease.isPresent();
	}

	/**
	 * Returns whether this host holds the lease or lost it within its duration.
	 * @return whether it does or did
	 */
	boolean wasHolderLately() {
		return this.lease.isPresent()
				|| (this.lastToken > 0 && System.nanoTime() - this.lostNanos < this.duration.toNanos());
	}

	/**
	 * Returns where the holder listens.
	 * @return the address, empty if this host holds the lease or no holder is known
	 */
	Optional<InetSocketAddress> holder() {
		return this.holder;
	}

	private void release(Lease held) {
		this.worker.execute(() -> {
			Object result = this.leases.release(held);
			LOG.info("lease_released", "token", held.token().value(), "result", result);
		});
	}

	// Gives the lease back, as long after the last command as it would have run out.
	void stop() {
		this.isStopping = true;
		this.lease.ifPresent((held) -> this.loop.schedule(() -> release(held), this.duration.dividedBy(3).toNanos(),
				TimeUnit.NANOSECONDS));
		lost();
	}

}
