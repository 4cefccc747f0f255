package org.celeryhill.cli;

import java.io.PrintWriter;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

import org.celeryhill.base.Finding;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Base class of the commands, with the output format, printing and the exit status.
 */
abstract class AbstractCommand implements Callable<Integer> {

	/** Specification of the command, injected by picocli. */
	@Spec
	private CommandSpec spec;

	/** Format of the result on standard output. */
	@Option(names = "--output", defaultValue = "TEXT", description = "Format of the result: ${COMPLETION-CANDIDATES}.")
	private OutputFormat output;

	@Override
	public final Integer call() {
		return run().toStatus();
	}

	/**
	 * Runs the command.
	 * @return the exit code, never null
	 */
	abstract ExitCode run();

	PrintWriter out() {
		return this.spec.commandLine().getOut();
	}

	PrintWriter err() {
		return this.spec.commandLine().getErr();
	}

	void print(List<Map<String, Object>> rows) {
		this.output.print(out(), rows);
	}

	void printFindings(List<Finding> findings) {
		findings.forEach(err()::println);
		err().flush();
	}

	void printError(String message) {
		err().println(message);
		err().flush();
	}

}
