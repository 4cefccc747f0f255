package org.celeryhill.traffic;

import java.util.Map;
import java.util.TreeMap;

/**
 * Times at which refused callers were told to come back. Room is reserved for them, and
 * they are spread so that they do not arrive together. Bounded; not thread-safe.
 */
final class ReturnLedger {

	/** Largest number of promises that are kept; the earliest are dropped first. */
	private static final int MAX_PROMISES = 64;

	/**
	 * Time after which a caller that has not come back is no longer expected, in
	 * nanoseconds. It covers the way of the response and of the next request.
	 */
	private static final long GRACE_NANOS = 500_000_000L;

	/**
	 * Time before the promised one at which a caller counts as having come back as told,
	 * in nanoseconds. Another host may have made the promise.
	 */
	private static final long EARLY_NANOS = 250_000_000L;

	/** Number of promises by promised time in nanoseconds. */
	private final TreeMap<Long, Integer> promises = new TreeMap<>();

	/** Number of promises. */
	private int size;

	/**
	 * Returns the first time at which another caller may come back.
	 * @param earliest the time at which room is expected, in nanoseconds
	 * @param gapNanos the time between two callers that come back, in nanoseconds
	 * @param now the current time in nanoseconds
	 * @return the time, after all promised ones, in nanoseconds
	 */
	long nextFree(long earliest, long gapNanos, long now) {
		removeExpired(now);
		return this.promises.isEmpty() ? earliest : Math.max(earliest, this.promises.lastKey() + gapNanos);
	}

	/**
	 * Records a promise.
	 * @param time the promised time in nanoseconds
	 */
	void promise(long time) {
		if (this.size >= MAX_PROMISES) {
			removeFirst();
		}
		this.promises.merge(time, 1, Integer::sum);
		this.size++;
	}

	/**
	 * Uses up one promise that is due for a caller that has come back.
	 * @param now the current time in nanoseconds
	 * @return whether there was one
	 */
	boolean redeem(long now) {
		removeExpired(now);
		if (this.size == 0 || this.promises.firstKey() - EARLY_NANOS > now) {
			return false;
		}
		removeFirst();
		return true;
	}

	/**
	 * Returns how many callers are expected before a time.
	 * @param time the time in nanoseconds
	 * @param now the current time in nanoseconds
	 * @return the number of promises
	 */
	int countBefore(long time, long now) {
		removeExpired(now);
		int count = 0;
		for (Map.Entry<Long, Integer> entry : this.promises.headMap(time, true).entrySet()) {
			count += entry.getValue();
		}
		return count;
	}

	/**
	 * Returns the number of promises that are kept.
	 * @return the number
	 */
	int size() {
		return this.size;
	}

	private void removeExpired(long now) {
		while (this.size > 0 && this.promises.firstKey() + GRACE_NANOS < now) {
			removeFirst();
		}
	}

	private void removeFirst() {
		this.promises.merge(this.promises.firstKey(), -1, (count, less) -> (count > 1) ? count + less : null);
		this.size--;
	}

}
