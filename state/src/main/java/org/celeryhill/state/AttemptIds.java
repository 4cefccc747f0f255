package org.celeryhill.state;

import java.util.Objects;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import org.celeryhill.base.AttemptId;

/**
 * Sources of unique attempt ids. Thread-safe.
 */
public final class AttemptIds {

	private AttemptIds() {
	}

	/**
	 * Returns a source of random ids, unique over all processes.
	 * @return the source, never null
	 */
	public static Supplier<AttemptId> random() {
		return () -> AttemptId.of(UUID.randomUUID().toString());
	}

	/**
	 * Returns a source of numbered ids, the same in each run of a simulation.
	 * @param prefix distinguishes this source from the others of the simulation, not null
	 * @return the source, never null
	 */
	public static Supplier<AttemptId> sequential(String prefix) {
		Objects.requireNonNull(prefix, "prefix");
		AtomicLong next = new AtomicLong();
		return () -> AttemptId.of(prefix + "-" + next.incrementAndGet());
	}

}
