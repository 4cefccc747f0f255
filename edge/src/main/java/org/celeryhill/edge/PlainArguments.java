package org.celeryhill.edge;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

import org.celeryhill.http.EnvironmentDefaults;

/**
 * Values of a command line that consists of plain options, each written as
 * {@code --name=value}. Reads them without the reflection of picocli, which takes about a
 * quarter of the processor time of a start. All other command lines, such as one with an
 * error, are left to picocli. Not thread-safe.
 */
final class PlainArguments {

	private static final Pattern PLAIN_OPTION = Pattern.compile("--[a-z]+(?:-[a-z]+)*=[A-Za-z0-9.,:/_-]*");

	/** Nine digits at most, so that the number fits in an int. */
	private static final Pattern PLAIN_INTEGER = Pattern.compile("0|[1-9][0-9]{0,8}");

	private static final Pattern PLAIN_DECIMAL = Pattern.compile("(?:0|[1-9][0-9]{0,8})(?:\\.[0-9]{1,9})?");

	private final Map<String, String> values;

	private final Map<String, String> environment;

	private final Set<String> usedOptions = new HashSet<>();

	private PlainArguments(Map<String, String> values, Map<String, String> environment) {
		this.values = values;
		this.environment = environment;
	}

	/**
	 * Reads settings from the options of a file and of the command line, and from
	 * environment variables for options that are not given.
	 * @param file the file with one option per line, empty for none, not null
	 * @param arguments the command line, not null
	 * @param environment the values by variable name, not null
	 * @return the settings, empty if picocli has to read them
	 */
	static Optional<EdgeSettings> read(Optional<Path> file, String[] arguments, Map<String, String> environment) {
		try {
			List<String> options = new ArrayList<>();
			if (file.isPresent()) {
				options.addAll(Files.readAllLines(file.get()));
			}
			options.addAll(Arrays.asList(arguments));
			EdgeSettings settings = new EdgeSettings();
			settings.set(new PlainArguments(parse(options), environment));
			return Optional.of(settings);
		}
		catch (IOException | IllegalArgumentException ex) {
			// Picocli reads the same options and reports the error.
			return Optional.empty();
		}
	}

	private static Map<String, String> parse(List<String> options) {
		Map<String, String> values = new HashMap<>();
		for (String option : options) {
			if (!PLAIN_OPTION.matcher(option).matches()) {
				throw new IllegalArgumentException("not a plain option: " + option);
			}
			int equals = option.indexOf('=');
			if (values.put(option.substring(0, equals), option.substring(equals + 1)) != null) {
				throw new IllegalArgumentException("option is given twice: " + option);
			}
		}
		return values;
	}

	/**
	 * Returns the value of an option that has no default.
	 * @param option the option with its dashes, not null
	 * @return the value, never null
	 * @throws IllegalArgumentException if it is given neither as an option nor in the
	 * environment
	 */
	String required(String option) {
		String value = text(option, null);
		if (value == null) {
			throw new IllegalArgumentException("option is missing: " + option);
		}
		return value;
	}

	/**
	 * Returns the value of an option.
	 * @param option the option with its dashes, not null
	 * @param defaultValue the value if it is not given, may be null
	 * @return the value, null only if the default is
	 */
	String text(String option, String defaultValue) {
		this.usedOptions.add(option);
		String value = this.values.get(option);
		if (value != null) {
			return value;
		}
		String variable = this.environment.getOrDefault(EnvironmentDefaults.toVariableName(option), defaultValue);
		if (variable != null && variable.contains("$")) {
			throw new IllegalArgumentException("picocli may expand the variable of " + option);
		}
		return variable;
	}

	/**
	 * Returns the value of an option that is an integer.
	 * @param option the option with its dashes, not null
	 * @param defaultValue the value if it is not given, not null
	 * @return the value
	 * @throws IllegalArgumentException if it is not an integer of at most nine digits
	 */
	long integer(String option, String defaultValue) {
		return Long.parseLong(requireMatch(PLAIN_INTEGER, text(option, defaultValue)));
	}

	/**
	 * Returns the value of an option that is a decimal number.
	 * @param option the option with its dashes, not null
	 * @param defaultValue the value if it is not given, not null
	 * @return the value
	 * @throws IllegalArgumentException if it is not a decimal number without sign and
	 * exponent
	 */
	double decimal(String option, String defaultValue) {
		return Double.parseDouble(requireMatch(PLAIN_DECIMAL, text(option, defaultValue)));
	}

	private static String requireMatch(Pattern pattern, String value) {
		if (!pattern.matcher(value).matches()) {
			throw new IllegalArgumentException("not a plain number: " + value);
		}
		return value;
	}

	/**
	 * Checks that each given option was asked for.
	 * @throws IllegalArgumentException if an option is unknown
	 */
	void requireAllUsed() {
		if (!this.usedOptions.containsAll(this.values.keySet())) {
			throw new IllegalArgumentException("unknown option among " + this.values.keySet());
		}
	}

}
