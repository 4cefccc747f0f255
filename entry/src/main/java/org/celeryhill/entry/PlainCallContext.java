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
 * Collaborators and limits shared by all plain-service calls of one daemon. Immutable and
 * thread-safe.
 *
 * @param plainServices finds a backend server by its id, not null
 * @param routers finds the router of a system, not null
 * @param workers the executor of blocking calls, not null
 * @param timer the clock and timers, not null
 * @param callTimeout the maximum wait for a response, not null
 * @param metrics the metrics to update, not null
 */
record PlainCallContext(Function<BackendServerId, Optional<PlainService>> plainServices,
		Function<ServingSystem, AttemptRouter> routers, Executor workers, TimerService timer, Duration callTimeout,
		EntryMetrics metrics) {

	PlainCallContext {
		Objects.requireNonNull(plainServices, "plainServices");
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
	 * Sends one call and checks that the response belongs to the same attempt. Blocks.
	 * @param server the backend server to call, not null
	 * @param call the call to send, not null
	 * @return the result; a response to another attempt counts as unknown
	 */
	PlainService.CallResult send(BackendServerId server, PlainService.Call call) {
		Optional<PlainService> found = this.plainServices.apply(server);
		if (found.isEmpty()) {
			return new PlainService.CallNotRun("the backend server is not in the host list");
		}
		PlainService.CallResult result;
		try {
			result = found.get().call(call, this.callTimeout);
		}
		catch (RuntimeException ex) {
			return new PlainService.CallUnknown("adapter failed: " + ex);
		}
		if (result instanceof PlainService.CallCompleted answered && !answered.attempt().equals(call.attempt())) {
			this.metrics.countForeignEvent();
			return new PlainService.CallUnknown("response to another attempt " + answered.attempt());
		}
		return result;
	}

}
