package org.celeryhill.traffic;

import java.time.Duration;
import java.util.Optional;

/**
 * Estimates how long a request will wait until it is sent, from what waits before it for
 * the same model and the observed pace at which room becomes free. It looks at the
 * engines of one model only. Not thread-safe.
 */
final class WaitEstimate {

	/** Wait that stands for one without a foreseeable end, in nanoseconds. */
	static final double ENDLESS_NANOS = 3600e9;

	/** Assumed time until a model is ready that no engine has started to load. */
	private static final long ASSUMED_LOAD_NANOS = 2_500_000_000L;

	/** Forecast of models that are being loaded. */
	private ModelForecast forecast = ModelForecast.NONE;

	/**
	 * Sets the forecast of models that are being loaded.
	 * @param source the forecast
	 */
	void setForecast(ModelForecast source) {
		this.forecast = source;
	}

	/**
	 * Returns the expected time until a request is sent.
	 * @param pool the service
	 * @param pending the request
	 * @param ahead the number of requests of its organisation that are served before it
	 * @param now the current time in nanoseconds
	 * @return the time in nanoseconds, {@link #ENDLESS_NANOS} if none is foreseeable
	 */
	double untilSentNanos(ServicePool pool, PendingRequest pending, int ahead, long now) {
		ModelRoute route = pending.flow.route;
		if (!pool.isReachable(route)) {
			return untilReachableNanos(pool, pending, now);
		}
		RouteBacklog backlog = route.backlog;
		double gap = backlog.expectedGapNanos(now);
		// The next send is due a gap after the latest one. If it is overdue, another wait
		// as long as the present one is expected.
		double next = Math.max(gap - backlog.nanosSinceSend(now), Math.min(gap, backlog.nanosSinceSend(now)));
		return next
				+ Math.min(backlog.waitingCount(), ahead / backlog.share(pending.flow.classQueue.organisation)) * gap;
	}

	private double untilReachableNanos(ServicePool pool, PendingRequest pending, long now) {
		ModelRoute route = pending.flow.route;
		Optional<Duration> resumed = pool.timeUntilUsable(route, now);
		if (resumed.isPresent()) {
			return resumed.get().toNanos();
		}
		ModelRoute loaded = (route.base != null) ? route.base : route;
		if (loaded.model == null) {
			return ENDLESS_NANOS;
		}
		// Demand causes a model to be loaded. The longer that has not begun, the longer
		// it is
		// expected to take.
		long waited = now - pending.request.arrivedNanos();
		return this.forecast.timeUntilReady(loaded.model)
			.map((time) -> (double) time.toNanos())
			.orElse((double) Math.max(ASSUMED_LOAD_NANOS - waited, waited));
	}

	/**
	 * Returns the expected time between two sends of a model.
	 * @param route the route of the model
	 * @param now the current time in nanoseconds
	 * @return the time in nanoseconds
	 */
	static double gapNanos(ModelRoute route, long now) {
		return route.backlog.expectedGapNanos(now);
	}

}
