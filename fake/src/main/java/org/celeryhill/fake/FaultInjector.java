package org.celeryhill.fake;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Random;

/**
 * The one place where faults are injected into the fakes. Each fake asks under the name
 * of its target, such as {@code table}, {@code object} or an engine's id, before each
 * exchange. Scripted faults come first, in order; then a target that is down, then faults
 * drawn by probability from a seeded generator. The same seed, settings and order of
 * exchanges give the same faults. Thread-safe.
 */
public final class FaultInjector {

	/** Default delay of late effects, copies and slow answers. */
	public static final Duration DEFAULT_DELAY = Duration.ofMillis(500);

	/** Generator of the drawn faults. */
	private final Random random;

	/** Settings by target. */
	private final Map<String, Target> targets = new HashMap<>();

	private FaultInjector(long seed) {
		this.random = new Random(seed);
	}

	/**
	 * Returns a switchboard without faults.
	 * @param seed the seed of the drawn faults
	 * @return the switchboard, never null
	 */
	public static FaultInjector ofSeed(long seed) {
		return new FaultInjector(seed);
	}

	/**
	 * Returns the fault of the next exchange with a target and uses it up.
	 * @param target the target, not null
	 * @return the fault with its delay, never null
	 */
	public synchronized InjectedFault nextFault(String target) {
		Target settings = target(target);
		InjectedFault scripted = settings.script.poll();
		if (scripted != null) {
			return scripted;
		}
		if (settings.isDown) {
			return new InjectedFault(Fault.DOWN, Duration.ZERO);
		}
		return draw(settings);
	}

	/**
	 * Appends faults for the next exchanges with a target.
	 * @param target the target, not null
	 * @param faults the faults in order, {@link Fault#NONE} for an exchange that works,
	 * not null
	 */
	public synchronized void script(String target, Fault... faults) {
		Target settings = target(target);
		Arrays.stream(faults).forEach((fault) -> settings.script.add(new InjectedFault(fault, settings.delay)));
	}

	/**
	 * Appends a fault with a delay of its own for the next exchange with a target.
	 * @param target the target, not null
	 * @param fault the fault, not null
	 * @param delay the delay, not null, zero or more
	 */
	public synchronized void script(String target, Fault fault, Duration delay) {
		target(target).script.add(new InjectedFault(fault, delay));
	}

	/**
	 * Sets how often a fault is drawn for a target.
	 * @param target the target, not null
	 * @param fault the fault, not null
	 * @param probability the probability for each exchange, from 0 to 1; the sum over all
	 * faults of a target should not exceed 1
	 * @throws IllegalArgumentException if the probability is out of its range
	 */
	public synchronized void setProbability(String target, Fault fault, double probability) {
		if (!(probability >= 0 && probability <= 1)) {
			throw new IllegalArgumentException("probability must be from 0 to 1: " + probability);
		}
		target(target).probabilities.put(fault, probability);
	}

	/**
	 * Sets the delay of faults that are scripted or drawn from now on. Drawn faults use a
	 * random part of it.
	 * @param target the target, not null
	 * @param delay the longest delay, not null, zero or more
	 */
	public synchronized void setDelay(String target, Duration delay) {
		target(target).delay = Objects.requireNonNull(delay, "delay");
	}

	/**
	 * Takes a target down or brings it back.
	 * @param target the target, not null
	 * @param isDown whether every exchange that is not scripted fails
	 */
	public synchronized void setDown(String target, boolean isDown) {
		target(target).isDown = isDown;
	}

	/**
	 * Returns whether a target is down. Uses up no scripted fault.
	 * @param target the target, not null
	 * @return true if it was taken down
	 */
	public synchronized boolean isDown(String target) {
		return target(target).isDown;
	}

	/** Removes all faults of all targets; effects that are already under way remain. */
	public synchronized void clear() {
		this.targets.clear();
	}

	private InjectedFault draw(Target settings) {
		if (settings.probabilities.isEmpty()) {
			return InjectedFault.NONE;
		}
		double draw = this.random.nextDouble();
		for (Map.Entry<Fault, Double> entry : settings.probabilities.entrySet()) {
			draw -= entry.getValue();
			if (draw < 0) {
				long nanos = (long) (this.random.nextDouble() * settings.delay.toNanos());
				return new InjectedFault(entry.getKey(), Duration.ofNanos(nanos));
			}
		}
		return InjectedFault.NONE;
	}

	private Target target(String name) {
		return this.targets.computeIfAbsent(Objects.requireNonNull(name, "target"), (key) -> new Target());
	}

	/**
	 * A fault with its delay. Immutable and thread-safe.
	 *
	 * @param fault the fault, not null
	 * @param delay the delay, not null, zero or more; only for faults that have one
	 */
	public record InjectedFault(Fault fault, Duration delay) {

		/** No fault. */
		public static final InjectedFault NONE = new InjectedFault(Fault.NONE, Duration.ZERO);

		/** Creates an injection. */
		public InjectedFault {
			Objects.requireNonNull(fault, "fault");
			Objects.requireNonNull(delay, "delay");
		}

	}

	/** Settings of one target. */
	private static final class Target {

		/** Faults of the next exchanges. */
		private final Deque<InjectedFault> script = new ArrayDeque<>();

		/** Probability by fault. */
		private final Map<Fault, Double> probabilities = new EnumMap<>(Fault.class);

		/** Longest delay. */
		private Duration delay = DEFAULT_DELAY;

		/** Whether the target is down. */
		private boolean isDown;

	}

}
