package org.celeryhill.http;

import java.util.Locale;
import java.util.Map;

import picocli.CommandLine.IDefaultValueProvider;
import picocli.CommandLine.Model.ArgSpec;
import picocli.CommandLine.Model.OptionSpec;

/**
 * Reads the default of a flag {@code --x-y} from the environment variable
 * {@code CELERYHILL_X_Y}. Thread-safe.
 */
public final class EnvironmentDefaults implements IDefaultValueProvider {

	/** Prefix of all variables. */
	private static final String PREFIX = "CELERYHILL_";

	/** Environment. */
	private final Map<String, String> environment;

	/** Creates a provider on the environment of the process. */
	public EnvironmentDefaults() {
		this(System.getenv());
	}

	/**
	 * Creates a provider.
	 * @param environment the variables, not null; copied
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
	 * Returns the variable of a flag.
	 * @param flag the flag with its dashes, not null
	 * @return the name of the variable, never null
	 */
	public static String toVariableName(String flag) {
		String bare = flag.replaceFirst("^-+", "");
		return PREFIX + bare.replace('-', '_').toUpperCase(Locale.ROOT);
	}

}
