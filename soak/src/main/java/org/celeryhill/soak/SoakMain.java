package org.celeryhill.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;

import org.celeryhill.base.Finding;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Command that runs the soak. Exits with 0 if every promise held, 1 if one was broken, 2
 * for invalid options and 3 if the soak itself failed. The folder with the logs is kept
 * if a promise was broken.
 */
@Command(name = "soak", mixinStandardHelpOptions = true, exitCodeOnExecutionException = SoakMain.FAILED,
		description = "Runs edge daemons with faults injected from outside and checks what callers and servers see.")
public final class SoakMain implements Callable<Integer> {

	/** Status if the soak itself fails, for example because a daemon does not start. */
	static final int FAILED = 3;

	private static final int BROKEN = 1;

	private static final int INVALID_SETTINGS = 2;

	@Mixin
	private final SoakSettings settings = new SoakSettings();

	private SoakMain() {
	}

	/**
	 * Runs the command.
	 * @param arguments the command-line options, not null
	 */
	public static void main(String[] arguments) {
		System.exit(new CommandLine(new SoakMain()).execute(arguments));
	}

	@Override
	public Integer call() throws IOException {
		List<Finding> findings = this.settings.check();
		if (!findings.isEmpty()) {
			findings.forEach((finding) -> System.err.println(finding.path() + " " + finding.message()));
			return INVALID_SETTINGS;
		}
		Files.createDirectories(this.settings.logs);
		Path folder = Files.createTempDirectory(this.settings.logs, "seed-" + this.settings.seed + "-");
		boolean isHeld = run(this.settings, folder, System.out);
		return isHeld ? 0 : BROKEN;
	}

	/**
	 * Runs a soak and prints its result.
	 * @param settings the settings, not null
	 * @param folder the folder for the logs, which is deleted if all promises held, not
	 * null
	 * @param out the output, not null
	 * @return whether all promises held
	 * @throws IOException if a file cannot be read or written
	 */
	static boolean run(SoakSettings settings, Path folder, PrintStream out) throws IOException {
		try (Soak soak = new Soak(settings, folder)) {
			Thread end = new Thread(soak::close);
			Runtime.getRuntime().addShutdownHook(end);
			SoakResult result = soak.run();
			soak.close();
			Runtime.getRuntime().removeShutdownHook(end);
			Report report = new Report(out);
			report.printSummary(settings, result);
			if (result.violations().isEmpty()) {
				delete(folder);
				return true;
			}
			report.printViolations(result, soak.schedule(), soak.daemons());
			keepReport(settings, folder, result, soak);
			out.println("seed " + settings.seed + ", logs kept in " + folder.toAbsolutePath());
			return false;
		}
	}

	private static void keepReport(SoakSettings settings, Path folder, SoakResult result, Soak soak)
			throws IOException {
		try (PrintStream file = new PrintStream(Files.newOutputStream(folder.resolve("report.txt")), false,
				StandardCharsets.UTF_8)) {
			Report report = new Report(file);
			report.printSummary(settings, result);
			report.printViolations(result, soak.schedule(), soak.daemons());
		}
	}

	private static void delete(Path folder) throws IOException {
		try (Stream<Path> files = Files.walk(folder)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.delete(file);
			}
		}
	}

}
