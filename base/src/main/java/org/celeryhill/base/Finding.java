package org.celeryhill.base;

import java.util.Objects;

/**
 * One problem found during the validation of input, with its location. Immutable and
 * thread-safe.
 *
 * @param severity how serious the problem is, not null
 * @param source the file, flag or document the problem is in, not null
 * @param line the line within the source, starting at 1; 0 where lines do not apply
 * @param path the path of the field within the source, such as {@code models[2].bytes},
 * not null, may be empty
 * @param message what is wrong and what to do, not null
 */
public record Finding(Severity severity, String source, int line, String path, String message) {

	/**
	 * Creates a finding and checks the line.
	 * @throws IllegalArgumentException if the line is negative
	 */
	public Finding {
		Objects.requireNonNull(severity, "severity");
		Objects.requireNonNull(source, "source");
		Objects.requireNonNull(path, "path");
		Objects.requireNonNull(message, "message");
		if (line < 0) {
			throw new IllegalArgumentException("line must not be negative: " + line);
		}
	}

	/**
	 * Returns an error.
	 * @param source the source, not null
	 * @param line the line, 0 where lines do not apply
	 * @param path the path of the field, not null
	 * @param message what is wrong and what to do, not null
	 * @return the finding, never null
	 */
	public static Finding error(String source, int line, String path, String message) {
		return new Finding(Severity.ERROR, source, line, path, message);
	}

	/**
	 * Returns a warning.
	 * @param source the source, not null
	 * @param line the line, 0 where lines do not apply
	 * @param path the path of the field, not null
	 * @param message what is probably wrong and what to do, not null
	 * @return the finding, never null
	 */
	public static Finding warning(String source, int line, String path, String message) {
		return new Finding(Severity.WARNING, source, line, path, message);
	}

	/**
	 * Returns whether this finding prevents the input from being used.
	 * @return true for an error
	 */
	public boolean isError() {
		return this.severity == Severity.ERROR;
	}

	@Override
	public String toString() {
		String location = (this.line > 0) ? this.source + ":" + this.line : this.source;
		String field = this.path.isEmpty() ? "" : " " + this.path;
		return location + field + ": " + this.severity.name().toLowerCase(java.util.Locale.ROOT) + ": " + this.message;
	}

	/**
	 * Severity of a finding.
	 */
	public enum Severity {

		/** The input cannot be used. */
		ERROR,

		/** The input can be used but probably does not have the intended effect. */
		WARNING

	}

}
