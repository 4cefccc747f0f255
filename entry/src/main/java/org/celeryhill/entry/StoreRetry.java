package org.celeryhill.entry;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Supplier;

import org.celeryhill.base.EventLog;
import org.celeryhill.state.ClaimStore;
import org.celeryhill.state.StoreUnavailable;

/**
 * Repeats the last write of a claim until the store has taken it, without a thread that
 * waits. Thread-safe.
 */
final class StoreRetry {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(StoreRetry.class);

	/** Time between two tries. */
	private static final Duration PERIOD = Duration.ofMillis(500);

	/** Tries before a write is given up, about five minutes; the claim then times out. */
	private static final int MAX_TRIES = 600;

	/** Workers and time. */
	private final PlainContext context;

	StoreRetry(PlainContext context) {
		this.context = Objects.requireNonNull(context, "context");
	}

	/**
	 * Writes once now and again later until it has worked. Blocks for the first try.
	 * @param write the write, not null
	 * @param onEnd called once when the write has worked or is given up, not null
	 */
	void write(Supplier<ClaimStore.CompleteResult> write, Runnable onEnd) {
		if (isStored(write)) {
			onEnd.run();
		}
		else {
			later(write, onEnd, 1);
		}
	}

	private void later(Supplier<ClaimStore.CompleteResult> write, Runnable onEnd, int tries) {
		this.context.timer().after(PERIOD, () -> {
			try {
				this.context.workers().execute(() -> again(write, onEnd, tries));
			}
			catch (RejectedExecutionException ex) {
				later(write, onEnd, tries + 1);
			}
		});
	}

	private void again(Supplier<ClaimStore.CompleteResult> write, Runnable onEnd, int tries) {
		if (isStored(write)) {
			onEnd.run();
		}
		else if (tries >= MAX_TRIES) {
			LOG.warn("claim_write_given_up", "tries", tries);
			onEnd.run();
		}
		else {
			later(write, onEnd, tries + 1);
		}
	}

	private static boolean isStored(Supplier<ClaimStore.CompleteResult> write) {
		try {
			return !(write.get() instanceof StoreUnavailable);
		}
		catch (RuntimeException ex) {
			LOG.warn("claim_write_fault", "fault", ex);
			return false;
		}
	}

}
