package org.celeryhill.measure;

import java.io.PrintWriter;
import java.util.Locale;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import org.celeryhill.measure.oddserver.OddServersCommand;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Command line that runs simulations, benchmarks and load profiles. Not thread-safe.
 */
@Command(name = "measure",
		description = "Measures traffic and placement decisions in virtual time, and the data path in real time.",
		subcommands = OddServersCommand.class, mixinStandardHelpOptions = true)
public final class MeasureCommand {

	/**
	 * Exit code if an invariant was violated, a target was missed or the benchmarks could
	 * not run.
	 */
	private static final int FAILED = 1;

	/** Parsed command line, set by picocli. */
	@Spec
	private CommandSpec spec;

	/**
	 * Executes the command line and exits with its exit code.
	 * @param arguments the command line arguments, not null
	 */
	public static void main(String[] arguments) {
		System.exit(commandLine().execute(arguments));
	}

	static CommandLine commandLine() {
		return new CommandLine(new MeasureCommand()).setCaseInsensitiveEnumValuesAllowed(true);
	}

	private void print(Object value, Format format) throws JsonProcessingException {
		PrintWriter out = this.spec.commandLine().getOut();
		ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
		out.println((format == Format.JSON) ? mapper.writeValueAsString(value) : TextReport.of(value));
		out.flush();
	}

	/**
	 * Prints the names, loads and durations of the scenarios.
	 * @return 0
	 */
	@Command(name = "list", description = "Lists the scenarios with their loads and durations.")
	int list() {
		PrintWriter out = this.spec.commandLine().getOut();
		for (Scenario scenario : Scenario.values()) {
			out.printf(Locale.ROOT, "%-20s load %.2f, %.0f s%n", scenario.toLabel(), scenario.load, scenario.seconds);
		}
		out.flush();
		return 0;
	}

	/**
	 * Runs one scenario and prints its figures.
	 * @param name the name of the scenario
	 * @param seed the seed of the run
	 * @param deployment the simulated deployment
	 * @param policy the routing and placement policy
	 * @param load the load relative to the capacity, 0 for that of the scenario
	 * @param format the output format
	 * @return 0, or 1 if an invariant was violated
	 * @throws JsonProcessingException if the figures cannot be written as JSON
	 */
	@Command(name = "run", description = "Runs one scenario.")
	int run(@Parameters(paramLabel = "NAME", description = "Scenario, see 'list'.") String name,
			@Option(names = "--seed", defaultValue = "1", description = "seed") long seed,
			@Option(names = "--deployment", defaultValue = "cooperative",
					description = "${COMPLETION-CANDIDATES}") Deployment deployment,
			@Option(names = "--policy", defaultValue = "celeryhill",
					description = "${COMPLETION-CANDIDATES}") Policy policy,
			@Option(names = "--load", defaultValue = "0",
					description = "Load relative to the capacity, 0 for that of the scenario.") double load,
			@Option(names = "--output", defaultValue = "text", description = "${COMPLETION-CANDIDATES}") Format format)
			throws JsonProcessingException {
		Scenario scenario = Scenario.parse(name);
		Figures figures = new Simulation(deployment, scenario, policy, (load > 0) ? load : scenario.load, seed).run();
		print(figures, format);
		return figures.isViolated() ? FAILED : 0;
	}

	/**
	 * Compares the system with the baseline on the same seeds and checks the targets.
	 * @param seeds the seeds of the runs
	 * @param deployments the simulated deployments
	 * @param format the output format
	 * @return 0, or 1 if a target was missed or an invariant violated
	 * @throws JsonProcessingException if the result cannot be written as JSON
	 */
	@Command(name = "compare", description = "Compares with the baseline and checks the targets.")
	int compare(@Option(names = "--seeds", split = ",", defaultValue = "1,2,3", description = "seeds") long[] seeds,
			@Option(names = "--deployment", split = ",", defaultValue = "cooperative,office",
					description = "${COMPLETION-CANDIDATES}") Deployment[] deployments,
			@Option(names = "--output", defaultValue = "text", description = "${COMPLETION-CANDIDATES}") Format format)
			throws JsonProcessingException {
		boolean isMet = true;
		for (Deployment deployment : deployments) {
			Comparison.Result result = new Comparison(deployment, seeds).run();
			isMet &= result.isMet();
			print(result, format);
		}
		return isMet ? 0 : FAILED;
	}

	/**
	 * Runs the JMH benchmarks of one routing and one admission decision.
	 * @return 0, or 1 if they could not run
	 */
	@Command(name = "bench", description = "Runs the benchmarks of single decisions.")
	int bench() {
		try {
			new Runner(new OptionsBuilder().include(DecisionBenchmark.class.getName()).build()).run();
			return 0;
		}
		catch (RunnerException ex) {
			this.spec.commandLine().getErr().println("benchmarks failed: " + ex.getMessage());
			return FAILED;
		}
	}

	/** Output formats. */
	enum Format {

		/** Indented JSON for programs. */
		JSON,

		/** Plain text for people. */
		TEXT

	}

}
