package org.celeryhill.quota;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Units that were used in the last window. Not thread-safe.
 */
final class RecentUse {

	/** Number of parts of the window by which old units are forgotten. */
	private static final int PARTS = 16;

	private final Deque<Part> parts = new ArrayDeque<>();

	private final long windowNanos;

	private double total;

	RecentUse(long windowNanos) {
		this.windowNanos = windowNanos;
	}

	void add(double units, long now) {
		forgetOld(now);
		this.total += units;
		Part last = this.parts.peekLast();
		if (last != null && now - last.startNanos < this.windowNanos / PARTS) {
			last.units += units;
		}
		else {
			this.parts.addLast(new Part(now, units));
		}
	}

	// Returns the units of the last window, and up to a part of it more.
	double total(long now) {
		forgetOld(now);
		return this.total;
	}

	private void forgetOld(long now) {
		long maxAge = this.windowNanos + this.windowNanos / PARTS;
		while (!this.parts.isEmpty() && now - this.parts.peekFirst().startNanos > maxAge) {
			this.total -= this.parts.pollFirst().units;
		}
	}

	private static final class Part {

		private final long startNanos;

		private double units;

		Part(long startNanos, double units) {
			this.startNanos = startNanos;
			this.units = units;
		}

	}

}
