package org.celeryhill.http;

import java.util.Objects;

/**
 * Registers handlers for operating system signals. A shutdown hook would run while the
 * log is being closed and could not set the exit status to 0, so signals are handled
 * directly. Thread-safe.
 */
public final class ProcessSignals {

	private ProcessSignals() {
	}

	/**
	 * Runs an action whenever the process receives a signal. It replaces the default
	 * handling by the virtual machine.
	 * @param name the signal name without the prefix SIG, such as {@code TERM}, not null
	 * @param action the action, run on a thread of the virtual machine, not null
	 * @throws IllegalArgumentException if the signal is unknown or reserved by the
	 * virtual machine
	 */
	public static void handle(String name, Runnable action) {
		Objects.requireNonNull(action, "action");
		sun.misc.Signal.handle(new sun.misc.Signal(name), (signal) -> action.run());
	}

}
