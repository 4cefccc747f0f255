package org.celeryhill.edge;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.celeryhill.base.EventLog;
import org.celeryhill.base.ModelId;
import org.celeryhill.placement.SwapPlanner;

/**
 * Logs why requested models have no replica, at most once a second for each model. Must
 * be used on the event loop.
 */
final class UnservedModelLog {

	private static final EventLog LOG = EventLog.of(UnservedModelLog.class);

	private static final long MIN_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final Map<ModelId, Long> lastLineNanos = new HashMap<>();

	// Logs a line for each model whose last line is old enough.
	void log(List<SwapPlanner.Unserved> unserved, long nowNanos) {
		this.lastLineNanos.values().removeIf((last) -> nowNanos - last >= MIN_PERIOD_NANOS);
		for (SwapPlanner.Unserved one : unserved) {
			if (this.lastLineNanos.putIfAbsent(one.model(), nowNanos) == null) {
				LOG.info("model_unserved", "model", one.model(), "reason", one.reason(), "seconds",
						Math.round(one.seconds() * 10) / 10.0, "value", Math.round(one.valuePerSecond() * 100) / 100.0);
			}
		}
	}

}
