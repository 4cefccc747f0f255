package org.celeryhill.fake;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.celeryhill.base.ModelId;
import org.celeryhill.base.TimerService;
import org.celeryhill.port.WeightStore;

/**
 * In-memory weight store. Up to a number of concurrent loads, each load takes a fixed
 * time; beyond that number, loads take proportionally longer. Its fault target is
 * {@code weights}. Thread-safe.
 */
public final class FakeWeightStore implements WeightStore {

	/** Name of the fault target. */
	public static final String TARGET = "weights";

	/** Ends the loads. */
	private final TimerService timer;

	/** Executes each read with its injected fault. */
	private final FaultyCallExecutor call;

	/** Speed of model loads. */
	private final LoadSpeed models;

	/** Speed of adapter loads. */
	private final LoadSpeed adapters;

	/** Ids that are adapters. Guarded by this. */
	private final Set<ModelId> adapterIds = new HashSet<>();

	/** Size in bytes by model or adapter. Guarded by this. */
	private final Map<ModelId, Long> sizes = new LinkedHashMap<>();

	/** Number of running model loads. Guarded by this. */
	private int runningModels;

	/** Number of running adapter loads. Guarded by this. */
	private int runningAdapters;

	/** Largest number of concurrent model loads so far. Guarded by this. */
	private int maxRunningModels;

	private FakeWeightStore(TimerService timer, FaultInjector faults, LoadSpeed models, LoadSpeed adapters) {
		this.timer = timer;
		this.call = new FaultyCallExecutor(timer, faults, TARGET, (delay) -> {
		});
		this.models = models;
		this.adapters = adapters;
	}

	/**
	 * Returns an empty store.
	 * @param timer the timer that ends loads, not null
	 * @param faults the source of injected faults, not null
	 * @param models the speed of model loads, not null
	 * @param adapters the speed of adapter loads, not null
	 * @return the store, never null
	 */
	public static FakeWeightStore create(TimerService timer, FaultInjector faults, LoadSpeed models,
			LoadSpeed adapters) {
		return new FakeWeightStore(Objects.requireNonNull(timer, "timer"), Objects.requireNonNull(faults, "faults"),
				Objects.requireNonNull(models, "models"), Objects.requireNonNull(adapters, "adapters"));
	}

	/**
	 * Adds a model or adapter.
	 * @param model the model, not null
	 * @param bytes its size in bytes
	 * @param isAdapter whether it is an adapter, loaded at the speed of adapters
	 */
	public synchronized void put(ModelId model, long bytes, boolean isAdapter) {
		this.sizes.put(model, bytes);
		if (isAdapter) {
			this.adapterIds.add(model);
		}
	}

	@Override
	public Optional<Map<ModelId, Long>> sizes() {
		return this.call.run(this::copySizes, Optional::empty, Optional::empty);
	}

	private synchronized Optional<Map<ModelId, Long>> copySizes() {
		return Optional.of(new LinkedHashMap<>(this.sizes));
	}

	/**
	 * Starts a load and returns its duration, which depends on the loads that run now.
	 * @param model the model or adapter, not null; loaded as a model if it is not known
	 * @return the duration, never null
	 */
	public synchronized Duration startLoad(ModelId model) {
		boolean isAdapter = this.adapterIds.contains(model);
		if (isAdapter) {
			this.runningAdapters++;
		}
		else {
			this.runningModels++;
			this.maxRunningModels = Math.max(this.maxRunningModels, this.runningModels);
		}
		Duration time = isAdapter ? this.adapters.time(this.runningAdapters) : this.models.time(this.runningModels);
		this.timer.after(time, () -> finish(isAdapter));
		return time;
	}

	private synchronized void finish(boolean isAdapter) {
		if (isAdapter) {
			this.runningAdapters--;
		}
		else {
			this.runningModels--;
		}
	}

	/**
	 * Returns the largest number of concurrent model loads so far, for checks of test
	 * results.
	 * @return the number of loads
	 */
	public synchronized int maxConcurrentModelLoads() {
		return this.maxRunningModels;
	}

	/**
	 * Speed of loads. Immutable and thread-safe.
	 *
	 * @param time the duration of a load at full speed, not null
	 * @param maxFullSpeedLoads the largest number of concurrent loads at full speed,
	 * positive
	 */
	public record LoadSpeed(Duration time, int maxFullSpeedLoads) {

		/**
		 * Creates a speed.
		 * @throws IllegalArgumentException if the number of loads is not positive
		 */
		public LoadSpeed {
			Objects.requireNonNull(time, "time");
			if (maxFullSpeedLoads <= 0) {
				throw new IllegalArgumentException("fullSpeed must be positive: " + maxFullSpeedLoads);
			}
		}

		/**
		 * Returns the speed of a store that completes a number of loads a second at its
		 * largest number of concurrent loads at full speed.
		 * @param loadsPerSecond the rate, in loads a second, positive
		 * @param maxFullSpeedLoads the largest number of concurrent loads at full speed,
		 * positive
		 * @return the speed, never null
		 */
		public static LoadSpeed ofRate(double loadsPerSecond, int maxFullSpeedLoads) {
			return new LoadSpeed(Duration.ofNanos((long) (maxFullSpeedLoads / loadsPerSecond * 1e9)),
					maxFullSpeedLoads);
		}

		Duration time(int running) {
			double slowdown = Math.max(1.0, (double) running / this.maxFullSpeedLoads);
			return Duration.ofNanos((long) (this.time.toNanos() * slowdown));
		}

	}

}
