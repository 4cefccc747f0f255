package org.celeryhill.forward;

import java.time.Duration;
import java.util.Optional;

import org.celeryhill.base.ModelId;
import org.celeryhill.base.ServiceId;

/**
 * Decides whether a request for a model that no engine serves yet waits for it. Must be
 * used on the event loop.
 */
final class AbsentModelCheck {

	/** Assumed time until a model is ready if no engine has started to load it. */
	private static final Duration DEFAULT_LOAD_TIME = Duration.ofMillis(2500);

	private static final Duration MIN_ABANDONMENT_TIME = Duration.ofSeconds(2);

	private AbsentModelCheck() {
	}

	// Returns the time after which to retry if no engine is expected to serve the model
	// before the caller abandons the request, or before the latest time to start it, else
	// empty.
	static Optional<Duration> findRetryDelay(Forwarder forwarder, Route route, ServiceId service, ModelId model,
			boolean isReturn) {
		if (forwarder.directory().isServed(service, model)) {
			return Optional.empty();
		}
		Duration estimatedWait = forwarder.placementForecast().timeUntilReady(model).orElse(DEFAULT_LOAD_TIME);
		// A caller that has come back is late already and waits as long as it can be
		// served.
		boolean isInTime = estimatedWait.compareTo(longestWait(route)) < 0
				&& (isReturn || estimatedWait.compareTo(RevisionMapping.latestStart(route)) < 0);
		return isInTime ? Optional.empty() : Optional.of(estimatedWait);
	}

	// Returns the time after which a response would probably no longer reach its caller.
	static Duration longestWait(Route route) {
		return abandonmentTime(route).multipliedBy(2).dividedBy(3);
	}

	// Estimates the time after which a caller abandons a stream without a first event.
	private static Duration abandonmentTime(Route route) {
		Duration byTarget = route.targetLatency().multipliedBy(4);
		Duration byGap = route.targetEventGap().multipliedBy(8);
		Duration longer = (byTarget.compareTo(byGap) > 0) ? byTarget : byGap;
		return (longer.compareTo(MIN_ABANDONMENT_TIME) > 0) ? longer : MIN_ABANDONMENT_TIME;
	}

}
