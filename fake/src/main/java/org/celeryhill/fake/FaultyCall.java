package org.celeryhill.fake;

import java.time.Duration;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.celeryhill.base.TimerService;

/**
 * Runs an exchange with a fake under the fault that the switchboard gives for it. Late
 * effects and copies run as tasks of the timer service. Thread-safe.
 */
final class FaultyCall {

	/** Time of late effects. */
	private final TimerService timer;

	/** Source of the faults. */
	private final FaultInjector faults;

	/** Target name of the fake. */
	private final String target;

	/** Blocks the caller of a slow exchange. */
	private final Consumer<Duration> pause;

	FaultyCall(TimerService timer, FaultInjector faults, String target, Consumer<Duration> pause) {
		this.timer = Objects.requireNonNull(timer, "timer");
		this.faults = Objects.requireNonNull(faults, "faults");
		this.target = Objects.requireNonNull(target, "target");
		this.pause = Objects.requireNonNull(pause, "pause");
	}

	/**
	 * Runs an exchange.
	 * @param <T> the type of the answer
	 * @param effect the effect with its answer
	 * @param noAnswer the answer when none arrives
	 * @param notSent the answer when the service is down
	 * @return the answer that the caller gets
	 */
	<T> T run(Supplier<T> effect, Supplier<T> noAnswer, Supplier<T> notSent) {
		FaultInjector.InjectedFault injection = this.faults.nextFault(this.target);
		Duration delay = injection.delay();
		switch (injection.fault()) {
			case LOST_REQUEST -> {
				return noAnswer.get();
			}
			case LOST_ANSWER -> {
				effect.get();
				return noAnswer.get();
			}
			case DELAYED_EFFECT, REORDER -> {
				this.timer.after(delay, effect::get);
				return noAnswer.get();
			}
			case DUPLICATE -> {
				T answer = effect.get();
				this.timer.after(delay, effect::get);
				return answer;
			}
			case DELAYED_ANSWER -> {
				T answer = effect.get();
				this.pause.accept(delay);
				return answer;
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
