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
 * Chooses the faults of all exchanges with the fakes. Before each exchange a fake
 * requests the fault for its target, such as {@code table}, {@code object} or the id of
 * an engine. Scripted faults are used first, in order; then {@link Fault#DOWN} if the
 * target is down; then faults drawn by probability from a seeded generator. The same
 * seed, settings and order of exchanges give the same faults. Thread-safe.
 */
public final class FaultInjector {

	/** Default longest delay of late effects, duplicates and slow responses. */
	public static final Duration DEFAULT_DELAY = Duration.ofMillis(500);

	/** Random generator for faults with a probability. */
	private final Random random;

	/** Fault settings by target name. */
	private final Map<String, Target> targets = new HashMap<>();

	private FaultInjector(long seed) {
		this.random = new Random(seed);
	}

	/**
	 * Returns an injector that injects no faults yet.
	 * @param seed the seed of the random generator
	 * @return the injector, never null
	 */
	public static FaultInjector ofSeed(long seed) {
		return new FaultInjector(seed);
	}

	/**
	 * Returns the fault for the next exchange with a target. A scripted fault is
	 * consumed.
	 * @param target the name of the target, not null
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
	 * Appends faults to the script of a target, one for each exchange, with the current
	 * delay of the target.
	 * @param target the name of the target, not null
	 * @param faults the faults in order, {@link Fault#NONE} for an undisturbed exchange,
	 * not null
	 */
	public synchronized void script(String target, Fault... faults) {
		Target settings = target(target);
		Arrays.stream(faults).forEach((fault) -> settings.script.add(new InjectedFault(fault, settings.delay)));
	}

	/**
	 * Appends a fault with its own delay to the script of a target.
	 * @param target the name of the target, not null
	 * @param fault the fault, not null
	 * @param delay the delay, not null, zero or more
	 */
	public synchronized void script(String target, Fault fault, Duration delay) {
		target(target).script.add(new InjectedFault(fault, delay));
	}

	/**
	 * Sets the probability of a fault of a target.
	 * @param target the name of the target, not null
	 * @param fault the fault, not null
	 * @param probability the probability for each exchange, from 0 to 1; the sum over all
	 * faults of a target should not exceed 1
	 * @throws IllegalArgumentException if the probability is not from 0 to 1
	 */
	public synchronized void setProbability(String target, Fault fault, double probability) {
		if (!(probability >= 0 && probability <= 1)) {
			throw new IllegalArgumentException("probability must be from 0 to 1: " + probability);
		}
		target(target).probabilities.put(fault, probability);
	}

	/**
	 * Sets the delay of faults that are scripted or drawn from now on. Scripted faults
	 * use all of it, drawn faults a random fraction.
	 * @param target the name of the target, not null
	 * @param delay the longest delay, not null, zero or more
	 */
	public synchronized void setDelay(String target, Duration delay) {
		target(target).delay = Objects.requireNonNull(delay, "delay");
	}

	/**
	 * Marks a target as down or up.
	 * @param target the name of the target, not null
	 * @param isDown whether every exchange without a scripted fault fails with
	 * {@link Fault#DOWN}
	 */
	public synchronized void setDown(String target, boolean isDown) {
		target(target).isDown = isDown;
	}

	/**
	 * Returns whether a target is marked as down. Consumes no scripted fault.
	 * @param target the name of the target, not null
	 * @return true if it is down
	 */
	public synchronized boolean isDown(String target) {
		return target(target).isDown;
	}

	/**
	 * Removes the settings of all targets. Delayed effects that are scheduled still
	 * occur.
	 */
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
	 * Fault of one exchange with its delay. Immutable and thread-safe.
	 *
	 * @param fault the fault, not null
	 * @param delay the delay, not null, zero or more; ignored by faults without a delay
	 */
	public record InjectedFault(Fault fault, Duration delay) {

		/** Undisturbed exchange. */
		public static final InjectedFault NONE = new InjectedFault(Fault.NONE, Duration.ZERO);

		/** Creates an injected fault. */
		public InjectedFault {
			Objects.requireNonNull(fault, "fault");
			Objects.requireNonNull(delay, "delay");
		}

	}

	/** Fault settings of one target. */
	private static final class Target {

		/** Scripted faults of the next exchanges. */
		private final Deque<InjectedFault> script = new ArrayDeque<>();

		/** Probability of each fault that can be drawn. */
		private final Map<Fault, Double> probabilities = new EnumMap<>(Fault.class);

		/** Longest delay of drawn faults, exact delay of scripted ones. */
		private Duration delay = DEFAULT_DELAY;

		/** Whether exchanges without a scripted fault fail as down. */
		private boolean isDown;

	}

}
