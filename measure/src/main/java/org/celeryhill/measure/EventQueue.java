package org.celeryhill.measure;

import java.util.PriorityQueue;

/**
 * Queue of events in virtual time. Events of the same time run in the order in which they
 * were scheduled. Not thread-safe.
 */
final class EventQueue {

	/** Pending events. */
	private final PriorityQueue<Event> events = new PriorityQueue<>();

	/** Current time, in nanoseconds since the start. */
	private long now;

	/** Number of events scheduled so far. */
	private long scheduledCount;

	/**
	 * Returns the current virtual time.
	 * @return the time in nanoseconds since the start
	 */
	long now() {
		return this.now;
	}

	/**
	 * Schedules an event after a delay.
	 * @param delay the delay in nanoseconds, zero or more
	 * @param task the action of the event
	 */
	void scheduleAfter(long delay, Runnable task) {
		this.events.add(new Event(this.now + delay, this.scheduledCount++, task));
	}

	/**
	 * Schedules an event at a fixed period until the end of the run.
	 * @param first the delay of the first event, in nanoseconds
	 * @param period the period in nanoseconds
	 * @param task the action of the event
	 */
	void scheduleEvery(long first, long period, Runnable task) {
		scheduleAfter(first, () -> {
			task.run();
			scheduleEvery(period, period, task);
		});
	}

	/**
	 * Runs all events up to a time and advances the current time to it.
	 * @param end the time in nanoseconds, inclusive
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
