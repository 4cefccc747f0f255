package org.celeryhill.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import org.celeryhill.base.Finding;
import picocli.CommandLine.Option;

/**
 * Settings of a soak, given as command-line options. Populated by picocli, validated by
 * {@link #check()} and not modified afterwards.
 */
final class SoakSettings {

	/** All requests are kept until the end. */
	private static final double MAX_MINUTES = 20;

	private static final int MAX_PROCESSES = 100;

	private static final int MAX_SERVERS = 200;

	@Option(names = "--seed", defaultValue = "1", description = "Seed of faults, requests and servers' behaviour.")
	long seed;

	@Option(names = "--minutes", defaultValue = "0.5", description = "Time in which faults are injected, in minutes.")
	double minutes;

	@Option(names = "--processes", defaultValue = "4", description = "Number of edge daemons.")
	int processes;

	@Option(names = "--servers", defaultValue = "5", description = "Number of servers of the plain service.")
	int servers;

	@Option(names = "--engines", defaultValue = "3", description = "Number of model engines.")
	int engines;

	@Option(names = "--callers", defaultValue = "4", description = "Number of callers for each edge daemon.")
	int callers;

	@Option(names = "--only", split = ",", description = "Kinds of faults, separated by commas; all by default.")
	List<String> only = new ArrayList<>();

	@Option(names = "--stop-at-first", description = "End at the first violation.")
	boolean isStoppingAtFirst;

	@Option(names = "--directory", defaultValue = ".", description = "Directory of the project.")
	Path directory;

	@Option(names = "--logs", defaultValue = "soak/target/runs",
			description = "Directory in which each run has a folder with its logs.")
	Path logs;

	@Option(names = "--class-path", defaultValue = "",
			description = "Class path of the daemons; that of deploy/system.toml by default.")
	String classPath;

	/** Fault of a stand-in; only tests plant one. */
	PlantedFault planted = PlantedFault.NONE;

	/**
	 * Validates the settings.
	 * @return a finding for each invalid setting, empty if all are valid, never null
	 */
	List<Finding> check() {
		List<Finding> findings = new ArrayList<>();
		if (!(this.minutes > 0 && this.minutes <= MAX_MINUTES)) {
			findings.add(error("--minutes", "must be more than 0 and at most " + MAX_MINUTES));
		}
		checkRange("--processes", this.processes, MAX_PROCESSES, findings);
		checkRange("--servers", this.servers, MAX_SERVERS, findings);
		checkRange("--engines", this.engines, MAX_SERVERS, findings);
		checkRange("--callers", this.callers, MAX_PROCESSES, findings);
		for (String name : this.only) {
			if (findKind(name) == null) {
				findings
					.add(error("--only", "unknown kind '" + name + "', use " + Arrays.toString(FaultKind.values())));
			}
		}
		if (!Files.exists(this.directory.resolve("deploy/system.toml"))) {
			findings.add(error("--directory", "has no deploy/system.toml: " + this.directory));
		}
		return findings;
	}

	private static void checkRange(String flag, int value, int max, List<Finding> findings) {
		if (value < 1 || value > max) {
			findings.add(error(flag, "must be between 1 and " + max));
		}
	}

	private static Finding error(String flag, String message) {
		return Finding.error("settings", 0, flag, message);
	}

	private static FaultKind findKind(String name) {
		String upper = name.strip().toUpperCase(Locale.ROOT).replace('-', '_');
		return Arrays.stream(FaultKind.values()).filter((kind) -> kind.name().equals(upper)).findFirst().orElse(null);
	}

	Set<FaultKind> kinds() {
		Set<FaultKind> kinds = EnumSet.noneOf(FaultKind.class);
		this.only.forEach((name) -> kinds.add(findKind(name)));
		return kinds.isEmpty() ? EnumSet.allOf(FaultKind.class) : kinds;
	}

	long durationMillis() {
		return (long) (this.minutes * 60_000);
	}

}
