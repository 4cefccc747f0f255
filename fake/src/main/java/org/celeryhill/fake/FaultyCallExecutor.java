package org.celeryhill.fake;

import java.time.Duration;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.celeryhill.base.TimerService;

/**
 * Executes exchanges with one fake and applies the injected faults. Late effects and
 * duplicates run as tasks of the timer service. Thread-safe.
 */
final class FaultyCallExecutor {

	/** Runs late effects and duplicates. */
	private final TimerService timer;

	/** Chooses the fault of each exchange. */
	private final FaultInjector faults;

	/** Name of the fault target. */
	private final String target;

	/** Called with the delay of a slow exchange; may block the caller. */
	private final Consumer<Duration> pause;

	FaultyCallExecutor(TimerService timer, FaultInjector faults, String target, Consumer<Duration> pause) {
		this.timer = Objects.requireNonNull(timer, "timer");
		this.faults = Objects.requireNonNull(faults, "faults");
		this.target = Objects.requireNonNull(target, "target");
		this.pause = Objects.requireNonNull(pause, "pause");
	}

	/**
	 * Executes an exchange with the fault that is due for it.
	 * @param <T> the type of the response
	 * @param effect executes the request and returns its response
	 * @param noResponse returns the result if no response arrives
	 * @param notSent returns the result if the service is down
	 * @return the result that the caller sees
	 */
	<T> T run(Supplier<T> effect, Supplier<T> noResponse, Supplier<T> notSent) {
		FaultInjector.InjectedFault injection = this.faults.nextFault(this.target);
		Duration delay = injection.delay();
		switch (injection.fault()) {
			case LOST_REQUEST -> {
				return noResponse.get();
			}
			case LOST_ANSWER -> {
				effect.get();
				return noResponse.get();
			}
			case DELAYED_EFFECT, REORDER -> {
				this.timer.after(delay, effect::get);
				return noResponse.get();
			}
			case DUPLICATE -> {
				T response = effect.get();
				this.timer.after(delay, effect::get);
				return response;
			}
			case DELAYED_ANSWER -> {
				T response = effect.get();
				this.pause.accept(delay);
				return response;
			}
			case SLOW -> {
				this.pause.accept(delay);
				return effect.get();
			}
			case DOWN -> {
				return notSent.get();
			}
			default -> {
				return effect.get();
			}
		}
	}

}
