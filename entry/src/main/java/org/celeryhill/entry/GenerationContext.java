package org.celeryhill.entry;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.TimerService;
import org.celeryhill.port.Engine;

/**
 * What all generations of one daemon share. Immutable and thread-safe.
 *
 * @param engines finds an engine by its id, not null
 * @param timer the time, not null
 * @param limits the timeouts, not null
 * @param metrics the counters, not null
 * @param demand the demand by model, not null
 */
record GenerationContext(Function<BackendServerId, Optional<Engine>> engines, TimerService timer,
		GenerationLimits limits, EntryMetrics metrics, DemandMeter demand) {

	GenerationContext {
		Objects.requireNonNull(engines, "engines");
		Objects.requireNonNull(timer, "timer");
		Objects.requireNonNull(limits, "limits");
		Objects.requireNonNull(metrics, "metrics");
		Objects.requireNonNull(demand, "demand");
	}

}
