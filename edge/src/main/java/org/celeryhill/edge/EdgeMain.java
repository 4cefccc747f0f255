package org.celeryhill.edge;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;

import org.celeryhill.base.EventLog;
import org.celeryhill.base.Finding;
import org.celeryhill.http.EnvironmentDefaults;
import org.celeryhill.http.LogSetup;
import org.celeryhill.http.ProcessSignals;
import org.celeryhill.platform.SettingsFile;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Entry point of the edge daemon.
 */
@Command(name = "celeryhill-edge", mixinStandardHelpOptions = true,
		description = "Forwards requests to backend servers and places models on engines.")
public final class EdgeMain implements Callable<Integer> {

	private static final EventLog LOG = EventLog.of(EdgeMain.class);

	private static final int INVALID_SETTINGS = 2;

	private static final int FAILED = 1;

	@Mixin
	private final EdgeSettings settings;

	private EdgeMain(EdgeSettings settings) {
		this.settings = settings;
	}

	/**
	 * Runs the daemon until SIGTERM or SIGINT, then exits the process with status 0. The
	 * status is 2 if the settings are invalid.
	 * @param arguments the command-line options, not null
	 */
	public static void main(String[] arguments) {
		Optional<EdgeSettings> plainSettings = PlainArguments.read(SettingsFile.find(), arguments, System.getenv());
		System.exit(plainSettings.map((settings) -> run(new EdgeMain(settings)))
			.orElseGet(() -> createCommandLine().execute(withSettingsFile(arguments))));
	}

	// Runs the daemon and handles an unexpected failure as picocli does.
	private static int run(EdgeMain daemon) {
		try {
			return daemon.call();
		}
		catch (InterruptedException | RuntimeException ex) {
			ex.printStackTrace();
			return FAILED;
		}
	}

	private static CommandLine createCommandLine() {
		return new CommandLine(new EdgeMain(new EdgeSettings())).setDefaultValueProvider(new EnvironmentDefaults());
	}

	// Puts the options of the settings file, one per line, before the given ones.
	private static String[] withSettingsFile(String[] arguments) {
		List<String> allArguments = new ArrayList<>();
		SettingsFile.find().ifPresent((file) -> allArguments.add("@" + file));
		allArguments.addAll(Arrays.asList(arguments));
		return allArguments.toArray(new String[0]);
	}

	@Override
	public Integer call() throws InterruptedException {
		LogSetup.install(Level.INFO);
		List<Finding> findings = this.settings.check();
		if (!findings.isEmpty()) {
			findings.forEach((finding) -> LOG.warn("setting_invalid", "finding", finding));
			return INVALID_SETTINGS;
		}
		CountDownLatch stopped = new CountDownLatch(1);
		EdgeDaemon daemon = EdgeDaemon.create(this.settings);
		ProcessSignals.handle("TERM", () -> daemon.stop(stopped::countDown));
		ProcessSignals.handle("INT", () -> daemon.stop(stopped::countDown));
		ProcessSignals.handle("HUP", this::reload);
		daemon.start();
		stopped.await();
		LogSetup.flush();
		return 0;
	}

	// Checks the settings file again and logs the result. The running daemon keeps its
	// settings.
	private void reload() {
		EdgeMain reloaded = new EdgeMain(new EdgeSettings());
		try {
			new CommandLine(reloaded).parseArgs(withSettingsFile(new String[0]));
			LOG.info("settings_checked", "host", reloaded.settings.hostId, "applied", "no", "findings",
					reloaded.settings.check().size());
		}
		catch (CommandLine.ParameterException ex) {
			LOG.warn("settings_not_reloaded", "cause", ex.getMessage());
		}
	}

}
