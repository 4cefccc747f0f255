package org.celeryhill.http;

import java.util.Objects;

/**
 * Signals to this process. A shutdown hook would run while the log is being closed and
 * could not set the exit status to 0, so signals are handled directly. Thread-safe.
 */
public final class ProcessSignals {

	private ProcessSignals() {
	}

	/**
	 * Runs an action on each arrival of a signal, in place of what the virtual machine
	 * does by itself.
	 * @param name the name of the signal without SIG, such as {@code TERM}, not null
	 * @param action the action, run on a thread of the virtual machine, not null
	 * @throws IllegalArgumentException if the signal is unknown or reserved
	 */
	public static void handle(String name, Runnable action) {
		Objects.requireNonNull(action, "action");
		sun.misc.Signal.handle(new sun.misc.Signal(name), (signal) -> action.run());
	}

}
