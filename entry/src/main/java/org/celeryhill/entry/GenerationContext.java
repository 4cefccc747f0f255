package org.celeryhill.entry;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.TimerService;
import org.celeryhill.port.Engine;

/**
 * Collaborators and timeouts shared by all generations of one daemon. Immutable and
 * thread-safe.
 *
 * @param engines finds an engine by its id, not null
 * @param timer the clock and timers, not null
 * @param timeouts the timeouts of attempts, not null
 * @param metrics the metrics to update, not null
 * @param demand records the demand for each model, not null
 */
record GenerationContext(Function<BackendServerId, Optional<Engine>> engines, TimerService timer,
		GenerationTimeouts timeouts, EntryMetrics metrics, DemandMeter demand) {

	GenerationContext {
		Objects.requireNonNull(engines, "engines");
		Objects.requireNonNull(timer, "timer");
		Objects.requireNonNull(timeouts, "timeouts");
		Objects.requireNonNull(metrics, "metrics");
		Objects.requireNonNull(demand, "demand");
	}

}
