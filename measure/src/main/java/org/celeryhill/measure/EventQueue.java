package org.celeryhill.measure;

import java.util.PriorityQueue;

/**
 * Events in virtual time; those of the same time run in the order in which they were
 * scheduled. Not thread-safe.
 */
final class EventQueue {

	/** Pending events. */
	private final PriorityQueue<Event> events = new PriorityQueue<>();

	/** Time in nanoseconds. */
	private long now;

	/** Events scheduled so far. */
	private long count;

	/**
	 * Returns the time.
	 * @return nanoseconds since the start
	 */
	long now() {
		return this.now;
	}

	/**
	 * Schedules an event.
	 * @param delay the delay in nanoseconds, zero or more
	 * @param task the event
	 */
	void after(long delay, Runnable task) {
		this.events.add(new Event(this.now + delay, this.count++, task));
	}

	/**
	 * Schedules an event at a fixed period until the end of the run.
	 * @param first the delay of the first event in nanoseconds
	 * @param period the period in nanoseconds
	 * @param task the event
	 */
	void every(long first, long period, Runnable task) {
		after(first, () -> {
			task.run();
			every(period, period, task);
		});
	}

	/**
	 * Runs all events up to a time.
	 * @param end the time in nanoseconds
	 */
	void runUntil(long end) {
		while (!this.events.isEmpty() && this.events.peek().time <= end) {
			Event event = this.events.poll();
			this.now = event.time;
			event.task.run();
		}
		this.now = Math.max(this.now, end);
	}

	private record Event(long time, long order, Runnable task) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.time, other.time);
			return (byTime != 0) ? byTime : Long.compare(this.order, other.order);
		}

	}

}
