package org.celeryhill.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.celeryhill.base.EventLog;

/**
 * Prints the result of a soak. Not thread-safe.
 */
final class Report {

	/** Violations that are printed in full for each promise. */
	private static final int MAX_PRINTED = 5;

	private static final int LOG_LINES = 15;

	private final PrintStream out;

	Report(PrintStream out) {
		this.out = out;
	}

	void printSummary(SoakSettings settings, SoakResult result) {
		this.out.println(EventLog.format("soak_result", "seed", settings.seed, "processes", settings.processes,
				"seconds", Math.round(result.seconds()), "requests", result.requestCount(), "runs", result.runs(),
				"faults", result.faultCount(), "violations", result.violations().size(), "max_memory_mb",
				result.maxMemoryKilobytes() / 1000));
		new TreeMap<>(result.requests())
			.forEach((kind, outcomes) -> this.out.println("requests " + kind + ": " + outcomes));
		this.out.println("failed connects: " + result.failedConnects());
		this.out.println("cut in a planned stop, read but not passed on: " + result.readInStop());
		this.out.println("faults: " + new TreeMap<>(result.faults()));
		for (Promise promise : Promise.values()) {
			this.out.println("promise " + promise + ": " + result.violationCount(promise) + " violations");
		}
	}

	/**
	 * Prints the violations with what the daemons logged about them, the schedule and the
	 * end of each log.
	 * @param result the result, not null
	 * @param schedule the schedule, not null
	 * @param daemons the daemons, not null
	 * @throws IOException if a log cannot be read
	 */
	void printViolations(SoakResult result, Schedule schedule, List<EdgeProcess> daemons) throws IOException {
		Map<String, List<String>> logs = new TreeMap<>();
		for (EdgeProcess daemon : daemons) {
			logs.put(daemon.name(), Files.readAllLines(daemon.log()));
		}
		for (Promise promise : Promise.values()) {
			result.violations()
				.stream()
				.filter((violation) -> violation.promise() == promise)
				.limit(MAX_PRINTED)
				.forEach((violation) -> printViolation(violation, logs));
		}
		this.out.println("schedule, from the first request:");
		schedule.steps().forEach(this.out::println);
		for (EdgeProcess daemon : daemons) {
			this.out.println("end of " + daemon.log() + ":");
			List<String> lines = logs.get(daemon.name());
			lines.subList(Math.max(0, lines.size() - LOG_LINES), lines.size()).forEach(this.out::println);
		}
	}

	private void printViolation(Violation violation, Map<String, List<String>> logs) {
		this.out.println(violation.describe());
		violation.request()
			.ifPresent((request) -> logs.forEach((daemon, lines) -> lines.stream()
				.filter((line) -> line.contains(request.request().id()))
				.forEach((line) -> this.out.println("    " + daemon + " " + line))));
	}

}
