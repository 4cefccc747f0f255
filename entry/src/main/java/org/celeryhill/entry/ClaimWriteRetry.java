package org.celeryhill.entry;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Supplier;

import org.celeryhill.base.EventLog;
import org.celeryhill.state.ClaimStore;
import org.celeryhill.state.StoreUnavailable;

/**
 * Repeats the final write of a claim until the table service accepts it, without blocking
 * a thread between tries. Thread-safe.
 */
final class ClaimWriteRetry {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(ClaimWriteRetry.class);

	/** Time between two tries of a write. */
	private static final Duration RETRY_PERIOD = Duration.ofMillis(500);

	/**
	 * Tries before a write is given up, after about 5 minutes; the claim then times out.
	 */
	private static final int MAX_TRIES = 600;

	/** Provides the worker threads and timers. */
	private final PlainCallContext context;

	ClaimWriteRetry(PlainCallContext context) {
		this.context = Objects.requireNonNull(context, "context");
	}

	/**
	 * Tries a write now and repeats it later until it succeeds. Blocks during the first
	 * try.
	 * @param write the write to perform, may block, not null
	 * @param onEnd called once after the write has succeeded or was given up, not null
	 */
	void writeUntilStored(Supplier<ClaimStore.CompleteResult> write, Runnable onEnd) {
		if (isStored(write)) {
			onEnd.run();
		}
		else {
			scheduleRetry(write, onEnd, 1);
		}
	}

	private void scheduleRetry(Supplier<ClaimStore.CompleteResult> write, Runnable onEnd, int tries) {
		this.context.timer().after(RETRY_PERIOD, () -> {
			try {
				this.context.workers().execute(() -> retry(write, onEnd, tries));
			}
			catch (RejectedExecutionException ex) {
				scheduleRetry(write, onEnd, tries + 1);
			}
		});
	}

	private void retry(Supplier<ClaimStore.CompleteResult> write, Runnable onEnd, int tries) {
		if (isStored(write)) {
			onEnd.run();
		}
		else if (tries >= MAX_TRIES) {
			LOG.warn("claim_write_given_up", "tries", tries);
			onEnd.run();
		}
		else {
			scheduleRetry(write, onEnd, tries + 1);
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
