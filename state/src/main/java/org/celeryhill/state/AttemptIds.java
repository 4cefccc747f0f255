package org.celeryhill.state;

import java.util.Objects;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import org.celeryhill.base.AttemptId;

/** Factories for generators of unique attempt ids. Thread-safe. */
public final class AttemptIds {

	private AttemptIds() {
	}

	/**
	 * Returns a generator of random ids that are unique across all processes.
	 * @return the generator, never null
	 */
	public static Supplier<AttemptId> random() {
		return () -> AttemptId.of(UUID.randomUUID().toString());
	}

	/**
	 * Returns a generator of numbered ids, {@code prefix-1} being the first, so that
	 * repeated runs of a simulation use the same ids.
	 * @param prefix the prefix, different for each generator of a simulation, not null
	 * @return the generator, never null
	 */
	public static Supplier<AttemptId> sequential(String prefix) {
		Objects.requireNonNull(prefix, "prefix");
		AtomicLong next = new AtomicLong();
		return () -> AttemptId.of(prefix + "-" + next.incrementAndGet());
	}

}
