package org.celeryhill.edge;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
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

	@Mixin
	private final EdgeSettings settings = new EdgeSettings();

	private EdgeMain() {
	}

	/**
	 * Runs the daemon until SIGTERM.
	 * @param arguments the flags, not null
	 */
	public static void main(String[] arguments) {
		System.exit(command().execute(withSettingsFile(arguments)));
	}

	private static CommandLine command() {
		return new CommandLine(new EdgeMain()).setDefaultValueProvider(new EnvironmentDefaults());
	}

	// The file holds one flag on each line; its flags come before those given.
	private static String[] withSettingsFile(String[] arguments) {
		List<String> all = new ArrayList<>();
		SettingsFile.find().ifPresent((file) -> all.add("@" + file));
		all.addAll(Arrays.asList(arguments));
		return all.toArray(new String[0]);
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

	// The addresses of a running daemon stay; a changed file is checked and reported.
	private void reload() {
		EdgeMain next = new EdgeMain();
		try {
			new CommandLine(next).parseArgs(withSettingsFile(new String[0]));
			LOG.info("settings_reloaded", "host", next.settings.hostId, "findings", next.settings.check().size());
		}
		catch (CommandLine.ParameterException ex) {
			LOG.warn("settings_not_reloaded", "cause", ex.getMessage());
		}
	}

}
