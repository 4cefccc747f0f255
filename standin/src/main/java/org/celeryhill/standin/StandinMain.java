package org.celeryhill.standin;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.stream.Collectors;

import org.celeryhill.base.EventLog;
import org.celeryhill.http.EnvironmentDefaults;
import org.celeryhill.http.LogSetup;
import org.celeryhill.http.SettingsChecks;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Process that runs the stand-ins until a signal ends it.
 */
@Command(name = "celeryhill-standin", mixinStandardHelpOptions = true,
		description = "Serves stand-ins of the platform and the backend servers on loopback ports.")
public final class StandinMain implements Callable<Integer> {

	/** Settings of the stand-ins. */
	@Mixin
	private StandinOptions options = new StandinOptions();

	/**
	 * Runs the process and exits with its status.
	 * @param args the flags, not null
	 */
	public static void main(String[] args) {
		LogSetup.install(Level.INFO);
		CommandLine command = new CommandLine(new StandinMain());
		command.setDefaultValueProvider(new EnvironmentDefaults());
		System.exit(command.execute(args));
	}

	@Override
	public Integer call() throws IOException, InterruptedException {
		SettingsChecks checks = this.options.validate();
		if (!checks.isValid()) {
			checks.print(new PrintWriter(System.err, true));
			return SettingsChecks.EXIT_STATUS;
		}
		StandinServers standins = StandinServers.start(this.options);
		CountDownLatch stopped = new CountDownLatch(1);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			standins.stop();
			stopped.countDown();
		}));
		if (this.options.addressesFile() != null) {
			writeAddresses(standins, this.options.addressesFile());
		}
		EventLog.of(StandinMain.class).info("standins_started", "count", standins.addresses().size());
		stopped.await();
		return 0;
	}

	private static void writeAddresses(StandinServers standins, Path file) throws IOException {
		String text = standins.addresses()
			.entrySet()
			.stream()
			.map((entry) -> entry.getKey() + "=" + entry.getValue() + "\n")
			.collect(Collectors.joining());
		Path partial = file.resolveSibling(file.getFileName() + ".part");
		Files.writeString(partial, text);
		Files.move(partial, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
	}

}
