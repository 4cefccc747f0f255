package org.celeryhill.soak;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Command and settings with which the platform starts an edge daemon, read from the files
 * in {@code deploy}. Immutable.
 */
final class DaemonCommand {

	private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

	private static final String SETTINGS_VARIABLE = "CELERYHILL_SETTINGS";

	private final Path directory;

	private final List<String> command;

	private final String settingsTemplate;

	/**
	 * Reads the files.
	 * @param directory the directory of the project, not null
	 * @param classPath the class path of the daemons, empty for the one in the files, not
	 * null
	 * @throws IOException if a file cannot be read or has no command
	 */
	DaemonCommand(Path directory, String classPath) throws IOException {
		this.directory = directory;
		Matcher run = RUN.matcher(Files.readString(directory.resolve("deploy/system.toml")));
		if (!run.find()) {
			throw new IOException("deploy/system.toml has no command");
		}
		List<String> parts = new ArrayList<>(List.of(run.group(1).split(" ")));
		if (!classPath.isEmpty()) {
			parts.set(parts.indexOf("-cp") + 1, classPath);
			// The archive belongs to the other class path.
			parts.removeIf((part) -> part.startsWith("-XX:SharedArchiveFile="));
		}
		this.command = List.copyOf(parts);
		this.settingsTemplate = Files.readString(directory.resolve("deploy/edge.settings"));
	}

	String settings(DaemonAddresses addresses, String name, String seeds, String store) {
		return this.settingsTemplate.replace("{{node_name}}", name)
			.replace("{{zone}}", "z1")
			.replace("{{region}}", "r1")
			.replace("{{listen.front}}", addresses.frontText())
			.replace("{{listen.ready}}", addresses.readyText())
			.replace("{{listen.control}}", addresses.controlText())
			.replace("{{seed_nodes}}", seeds)
			.replace("{{platform.address}}", store)
			.replace("{{bounds.lease_ms}}", "3000")
			.replace("{{bounds.grace_s}}", String.valueOf(Bounds.GRACE_MILLIS / 1000))
			.replace("{{bounds.ceiling_window_s}}", "5")
			.replace("{{bounds.retry_budget_ratio}}", "0.2")
			.replace("{{bounds.retry_slack}}", "52")
			// The soak has no quotas, so that these fields have no value.
			.replace("{{bounds.quota_window_s}}", "")
			.replace("{{bounds.quota_overage}}", "")
			.replace("{{bounds.quota_slack}}", "")
			.stripTrailing() + "\n--metrics-port=" + addresses.metricsPort() + "\n";
	}

	/**
	 * Starts a daemon.
	 * @param settings the file with its settings, not null
	 * @param log the file to which its output is appended, not null
	 * @return the process, never null
	 * @throws IOException if it cannot be started
	 */
	Process start(Path settings, Path log) throws IOException {
		ProcessBuilder builder = new ProcessBuilder(this.command);
		builder.environment().put(SETTINGS_VARIABLE, settings.toAbsolutePath().toString());
		File file = log.toFile();
		return builder.directory(this.directory.toFile())
			.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(file))
			.start();
	}

}
