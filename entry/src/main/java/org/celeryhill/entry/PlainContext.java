package org.celeryhill.entry;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Function;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.TimerService;
import org.celeryhill.port.PlainService;
import org.celeryhill.state.ServingSystem;

/**
 * What all plain calls of one daemon share. Immutable and thread-safe.
 *
 * @param servers finds a backend server by its id, not null
 * @param routers finds the router of a system, not null
 * @param workers runs blocking calls, not null
 * @param timer the time, not null
 * @param callTimeout the longest wait for an answer, not null
 * @param metrics the counters, not null
 */
record PlainContext(Function<BackendServerId, Optional<PlainService>> servers,
		Function<ServingSystem, AttemptRouter> routers, Executor workers, TimerService timer, Duration callTimeout,
		EntryMetrics metrics) {

	PlainContext {
		Objects.requireNonNull(servers, "servers");
		Objects.requireNonNull(routers, "routers");
		Objects.requireNonNull(workers, "workers");
		Objects.requireNonNull(timer, "timer");
		Objects.requireNonNull(callTimeout, "callTimeout");
		Objects.requireNonNull(metrics, "metrics");
	}

	AttemptRouter router(ServingSystem system) {
		return this.routers.apply(system);
	}

	/**
	 * Sends one call and checks that the answer is its own. Blocks.
	 * @param server the backend server, not null
	 * @param call the call, not null
	 * @return the outcome; an answer to another attempt counts as unknown
	 */
	PlainService.CallResult send(BackendServerId server, PlainService.Call call) {
		Optional<PlainService> found = this.servers.apply(server);
		if (found.isEmpty()) {
			return new PlainService.CallNotRun("the backend server is not in the host list");
		}
		PlainService.CallResult result;
		try {
			result = found.get().call(call, this.callTimeout);
		}
		catch (RuntimeException ex) {
			return new PlainService.CallUnknown("fault of the adapter: " + ex);
		}
		if (result instanceof PlainService.CallCompleted answered && !answered.attempt().equals(call.attempt())) {
			this.metrics.foreignEvent();
			return new PlainService.CallUnknown("answer to another attempt " + answered.attempt());
		}
		return result;
	}

}
