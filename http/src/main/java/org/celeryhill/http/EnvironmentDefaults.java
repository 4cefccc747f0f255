package org.celeryhill.http;

import java.util.Locale;
import java.util.Map;

import picocli.CommandLine.IDefaultValueProvider;
import picocli.CommandLine.Model.ArgSpec;
import picocli.CommandLine.Model.OptionSpec;

/**
 * Provides the default value of a flag such as {@code --x-y} from the environment
 * variable {@code CELERYHILL_X_Y}. Thread-safe.
 */
public final class EnvironmentDefaults implements IDefaultValueProvider {

	private static final String VARIABLE_PREFIX = "CELERYHILL_";

	private final Map<String, String> environment;

	/** Creates a provider that reads the environment of the process. */
	public EnvironmentDefaults() {
		this(System.getenv());
	}

	/**
	 * Creates a provider that reads the given variables.
	 * @param environment the values by variable name, not null; copied
	 */
	public EnvironmentDefaults(Map<String, String> environment) {
		this.environment = Map.copyOf(environment);
	}

	@Override
	public String defaultValue(ArgSpec argument) {
		if (!(argument instanceof OptionSpec option)) {
			return argument.defaultValue();
		}
		String value = this.environment.get(toVariableName(option.longestName()));
		return (value != null) ? value : argument.defaultValue();
	}

	/**
	 * Returns the name of the environment variable that sets a flag.
	 * @param flag the flag with its leading dashes, not null
	 * @return the variable name, never null
	 */
	public static String toVariableName(String flag) {
		String bare = flag.replaceFirst("^-+", "");
		return VARIABLE_PREFIX + bare.replace('-', '_').toUpperCase(Locale.ROOT);
	}

}
