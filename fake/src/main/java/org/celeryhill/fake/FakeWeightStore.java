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
 * Weight store in memory. Loads take a fixed time up to a number at once and
 * proportionally longer beyond it. Faults come under the target {@code weights}.
 * Thread-safe.
 */
public final class FakeWeightStore implements WeightStore {

	/** Name of the fault target. */
	public static final String TARGET = "weights";

	/** Time of loads. */
	private final TimerService timer;

	/** Runs each read under its fault. */
	private final FaultyCall call;

	/** Speed of loads of models. */
	private final LoadSpeed models;

	/** Speed of loads of adapters. */
	private final LoadSpeed adapters;

	/** Adapters among the models. Guarded by this. */
	private final Set<ModelId> adapterIds = new HashSet<>();

	/** Size in bytes by model. Guarded by this. */
	private final Map<ModelId, Long> sizes = new LinkedHashMap<>();

	/** Loads of models under way. Guarded by this. */
	private int runningModels;

	/** Loads of adapters under way. Guarded by this. */
	private int runningAdapters;

	/** Most loads of models at once. Guarded by this. */
	private int mostModels;

	private FakeWeightStore(TimerService timer, FaultInjector faults, LoadSpeed models, LoadSpeed adapters) {
		this.timer = timer;
		this.call = new FaultyCall(timer, faults, TARGET, (delay) -> {
		});
		this.models = models;
		this.adapters = adapters;
	}

	/**
	 * Returns an empty store.
	 * @param timer the time of loads, not null
	 * @param faults the faults, not null
	 * @param models the speed of loads of models, not null
	 * @param adapters the speed of loads of adapters, not null
	 * @return the store, never null
	 */
	public static FakeWeightStore create(TimerService timer, FaultInjector faults, LoadSpeed models, LoadSpeed adapters) {
		return new FakeWeightStore(Objects.requireNonNull(timer, "timer"), Objects.requireNonNull(faults, "faults"),
				Objects.requireNonNull(models, "models"), Objects.requireNonNull(adapters, "adapters"));
	}

	/**
	 * Adds a model or adapter.
	 * @param model the model, not null
	 * @param bytes its size in bytes
	 * @param isAdapter whether it is loaded at the speed of adapters
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
	 * Starts a load and returns how long it takes with the loads that run now.
	 * @param model the model or adapter, not null; loaded as a model if it is not known
	 * @return the time, never null
	 */
	public synchronized Duration startLoad(ModelId model) {
		boolean isAdapter = this.adapterIds.contains(model);
		if (isAdapter) {
			this.runningAdapters++;
		}
		else {
			this.runningModels++;
			this.mostModels = Math.max(this.mostModels, this.runningModels);
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
	 * Returns the most loads of models that ran at once, for oracles.
	 * @return the number of loads
	 */
	public synchronized int maxConcurrentModelLoads() {
		return this.mostModels;
	}

	/**
	 * Speed of loads. Immutable and thread-safe.
	 *
	 * @param time the time of a load at full speed, not null
	 * @param maxFullSpeedLoads the most loads at once at full speed, positive
	 */
	public record LoadSpeed(Duration time, int maxFullSpeedLoads) {

		/** Creates a speed. */
		public LoadSpeed {
			Objects.requireNonNull(time, "time");
			if (maxFullSpeedLoads <= 0) {
				throw new IllegalArgumentException("fullSpeed must be positive: " + maxFullSpeedLoads);
			}
		}

		/**
		 * Returns the speed of a store that completes a number of loads a second when it
		 * is fully used.
		 * @param loadsPerSecond the rate in loads a second, positive
		 * @param fullSpeed the most loads at once at full speed, positive
		 * @return the speed, never null
		 */
		public static LoadSpeed ofRate(double loadsPerSecond, int fullSpeed) {
			return new LoadSpeed(Duration.ofNanos((long) (fullSpeed / loadsPerSecond * 1e9)), fullSpeed);
		}

		Duration time(int running) {
			double stretch = Math.max(1.0, (double) running / this.maxFullSpeedLoads);
			return Duration.ofNanos((long) (this.time.toNanos() * stretch));
		}

	}

}
