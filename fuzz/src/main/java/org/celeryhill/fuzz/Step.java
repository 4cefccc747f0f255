package org.celeryhill.fuzz;

import java.util.Objects;

/**
 * One step of a case: an action with three arguments that the simulation interprets. A
 * case depends on nothing but its steps, so that a printed trace can be replayed.
 * Immutable and thread-safe.
 *
 * @param action the name of the action, not null
 * @param a the first argument, often the index of the process, zero or more
 * @param b the second argument, zero or more
 * @param c the third argument, zero or more
 */
record Step(String action, int a, int b, int c) {

	Step {
		Objects.requireNonNull(action, "action");
	}

	/**
	 * Parses a step from one line of a trace.
	 * @param line the line, such as {@code load 0 1 2}
	 * @return the parsed step
	 * @throws IllegalArgumentException if the line does not consist of an action and
	 * three numbers
	 */
	static Step parse(String line) {
		String[] parts = line.trim().split("\\s+");
		if (parts.length != 4) {
			throw new IllegalArgumentException("a step must consist of an action and three numbers: " + line);
		}
		return new Step(parts[0], Integer.parseInt(parts[1]), Integer.parseInt(parts[2]), Integer.parseInt(parts[3]));
	}

	@Override
	public String toString() {
		return this.action + " " + this.a + " " + this.b + " " + this.c;
	}

}
