package org.celeryhill.cli;

import java.io.PrintWriter;

import org.celeryhill.http.EnvironmentDefaults;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Command-line interface {@code celeryhill} for operators. Operators edit templates and
 * parameters and plan stops. There is no command that places a model, as planners decide
 * placement.
 */
@Command(name = "celeryhill", mixinStandardHelpOptions = true, version = "celeryhill 0.1.0",
		description = "Operates celeryhill. Each flag --x-y can be given as the environment variable CELERYHILL_X_Y.",
		subcommands = { CheckCommand.class, DiffCommand.class, ApplyCommand.class, GetCommand.class,
				HistoryCommand.class, PlanStopCommand.class, StatusCommand.class, DumpCommand.class,
				ExplainCommand.class, HashKeyCommand.class, AutoComplete.GenerateCompletion.class },
		exitCodeListHeading = "Exit codes:%n",
		exitCodeList = { "0:success", "1:refused, for example by a conflict",
				"2:errors in the command line or the files",
				"3:a service did not respond, or the command failed unexpectedly" })
public final class CeleryhillMain {

	private CeleryhillMain() {
	}

	/**
	 * Runs a command and exits with its status.
	 * @param arguments the command-line arguments, not null
	 */
	public static void main(String[] arguments) {
		System.exit(create().execute(arguments));
	}

	/**
	 * Creates the parser of the command line with all subcommands.
	 * @return the parser, never null
	 */
	public static CommandLine create() {
		CommandLine commandLine = new CommandLine(new CeleryhillMain());
		commandLine.setDefaultValueProvider(new EnvironmentDefaults());
		commandLine.getSubcommands()
			.values()
			.forEach((subcommand) -> subcommand.setDefaultValueProvider(new EnvironmentDefaults()));
		commandLine.setCaseInsensitiveEnumValuesAllowed(true);
		commandLine.setExecutionExceptionHandler((failure, failed, parsed) -> printFailure(failure, failed.getErr()));
		return commandLine;
	}

	private static int printFailure(Exception failure, PrintWriter err) {
		if (failure instanceof IllegalArgumentException || failure instanceof java.io.UncheckedIOException) {
			err.println(failure.getMessage());
			err.flush();
			return ExitCode.INVALID.toStatus();
		}
		failure.printStackTrace(err);
		err.flush();
		return ExitCode.UNAVAILABLE.toStatus();
	}

}
