package org.celeryhill.measure.oddserver;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

import org.celeryhill.http.SettingsChecks;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/**
 * Measures what backend servers that answer oddly cost the callers of the others, on the
 * real data path.
 */
@Command(name = "odd-servers", mixinStandardHelpOptions = true,
		description = "Runs the real data path with backend servers that answer oddly.")
public final class OddServersCommand implements Callable<Integer> {

	private static final int VIOLATED = 1;

	/** Settings, set by picocli. */
	@Mixin
	private OddServersOptions options;

	/** Parsed command line, set by picocli. */
	@Spec
	private CommandSpec spec;

	/**
	 * Runs each share and prints the figures side by side.
	 * @return 0, 1 if a promise to a caller was broken, or 2 if a setting is invalid
	 * @throws IOException if the table or the picture cannot be written
	 */
	@Override
	public Integer call() throws IOException {
		SettingsChecks checks = this.options.validate();
		if (!checks.findings().isEmpty()) {
			checks.findings().forEach(this.spec.commandLine().getErr()::println);
			return SettingsChecks.EXIT_STATUS;
		}
		Sweep sweep = runSweep();
		write(sweep);
		return exitStatus(sweep);
	}

	static int exitStatus(Sweep sweep) {
		return sweep.isViolated() ? VIOLATED : 0;
	}

	private Sweep runSweep() {
		LoadProfile profile = this.options.toProfile();
		WireFormat format = WireFormat.load();
		if (!this.options.warmUp().isZero()) {
			new ShareRun(profile.withDuration(this.options.warmUp()), 0, format).run();
		}
		List<List<ShareFigures>> rounds = new ArrayList<>();
		for (int i = 0; i < this.options.rounds(); i++) {
			rounds.add(runRound(profile.withSeed(profile.seed() + i), format));
		}
		return new Sweep(rounds);
	}

	private List<ShareFigures> runRound(LoadProfile profile, WireFormat format) {
		List<ShareFigures> round = new ArrayList<>();
		for (double share : this.options.shares()) {
			round.add(new ShareRun(profile, share, format).run());
		}
		return round;
	}

	private void write(Sweep sweep) throws IOException {
		String table = SweepTable.format(sweep);
		PrintWriter out = this.spec.commandLine().getOut();
		out.print(table);
		out.flush();
		if (this.options.tableFile().isPresent()) {
			Files.writeString(this.options.tableFile().get(), table);
		}
		if (this.options.pictureFile().isPresent()) {
			Files.writeString(this.options.pictureFile().get(), SweepPicture.draw(sweep));
		}
	}

}
