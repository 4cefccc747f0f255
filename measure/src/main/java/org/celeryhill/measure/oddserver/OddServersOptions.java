package org.celeryhill.measure.oddserver;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

import org.celeryhill.http.SettingsChecks;
import picocli.CommandLine.Option;

/**
 * Settings of the load profile, set by picocli. Values are kept as texts or numbers until
 * {@link #validate()} has checked them together.
 */
final class OddServersOptions {

	private static final double MAX_SHARE = 100;

	@Option(names = "--seed", defaultValue = "1", description = "Seed of the servers' decisions.")
	private long seed;

	@Option(names = "--seconds", defaultValue = "10", description = "Length of the run of each share in s.")
	private double seconds;

	@Option(names = "--warm-up-seconds", defaultValue = "8",
			description = "Length of a run without odd answers before them in s.")
	private double warmUpSeconds;

	@Option(names = "--rounds", defaultValue = "1",
			description = "Number of times that all shares are run, each with the next seed.")
	private int rounds;

	@Option(names = "--servers", defaultValue = "3", description = "Number of backend servers.")
	private int servers;

	@Option(names = "--odd-servers", defaultValue = "-1", description = "Number of them that answer oddly, -1 for all.")
	private int oddServers;

	@Option(names = "--slots", defaultValue = "4", description = "Requests that a server takes at once.")
	private int slots;

	@Option(names = "--callers", defaultValue = "12", description = "Number of callers.")
	private int callers;

	@Option(names = "--think-ms", defaultValue = "6",
			description = "Time from an answer to the next request of a caller in ms.")
	private double thinkMillis;

	@Option(names = "--work-ms", defaultValue = "10",
			description = "Mean time from a request to the answer of a server in ms.")
	private double workMillis;

	@Option(names = "--body-bytes", defaultValue = "256", description = "Size of the body of a request.")
	private int bodyBytes;

	@Option(names = "--kind", split = ",", defaultValue = "repeated-at-once,repeated-later,repeated-before-next",
			description = "Kinds of odd answers, of which each odd answer has one: repeated-at-once, repeated-later,"
					+ " repeated-before-next, truncated, unframed, early, garbage, closed.")
	private List<String> kinds = List.of();

	@Option(names = "--share", description = "Share of odd answers in 100, instead of a sweep.")
	private Optional<Double> share = Optional.empty();

	@Option(names = "--sweep", split = ",", defaultValue = "0,1,2,5,10,20,50",
			description = "Shares of odd answers in 100, run one after the other.")
	private List<Double> sweep = List.of();

	@Option(names = "--fail", defaultValue = "10", description = "Share of requests that run and fail in 100.")
	private double failShare;

	@Option(names = "--refuse", defaultValue = "10", description = "Share of requests that are refused in 100.")
	private double refuseShare;

	@Option(names = "--reset", defaultValue = "3.33",
			description = "Share of requests whose connection is reset in 100.")
	private double resetShare;

	@Option(names = "--suspect-ms", defaultValue = "1000",
			description = "Time without requests that the host gives a server after a failure in ms;"
					+ " it doubles with each further one.")
	private double suspectMillis;

	@Option(names = "--slow-start-ms", defaultValue = "2000",
			description = "Time over which the host raises the limit of such a server back to its full value in ms.")
	private double slowStartMillis;

	@Option(names = "--table", defaultValue = "", description = "File for the table, printed in any case.")
	private String tableFile;

	@Option(names = "--picture", defaultValue = "", description = "File for the picture as SVG.")
	private String pictureFile;

	SettingsChecks validate() {
		SettingsChecks checks = SettingsChecks.create()
			.requireRange("--seconds", this.seconds, 0.1, 600)
			.requireRange("--warm-up-seconds", this.warmUpSeconds, 0, 60)
			.requireRange("--rounds", this.rounds, 1, 100)
			.requireRange("--servers", this.servers, 1, 100)
			.requireRange("--odd-servers", this.oddServers, -1, this.servers)
			.requireRange("--slots", this.slots, 1, 1000)
			.requireRange("--callers", this.callers, 1, 1000)
			.requireRange("--think-ms", this.thinkMillis, 0, 10_000)
			.requireRange("--work-ms", this.workMillis, 0, 1000)
			.requireRange("--body-bytes", this.bodyBytes, 0, 1 << 20)
			.requireRange("--fail", this.failShare, 0, MAX_SHARE)
			.requireRange("--refuse", this.refuseShare, 0, MAX_SHARE)
			.requireRange("--reset", this.resetShare, 0, MAX_SHARE)
			.require(this.failShare + this.refuseShare + this.resetShare <= MAX_SHARE, "--reset",
					"--fail, --refuse and --reset together are above 100")
			.requireRange("--suspect-ms", this.suspectMillis, 1, 60_000)
			.requireRange("--slow-start-ms", this.slowStartMillis, 1, 60_000);
		checkShares(checks);
		checkKinds(checks);
		checkFile(checks, "--table", this.tableFile);
		checkFile(checks, "--picture", this.pictureFile);
		return checks;
	}

	private void checkShares(SettingsChecks checks) {
		this.share.ifPresent((value) -> checks.requireRange("--share", value, 0, MAX_SHARE));
		checks.require(!this.sweep.isEmpty(), "--sweep", "at least one share is required");
		for (double value : this.sweep) {
			checks.requireRange("--sweep", value, 0, MAX_SHARE);
		}
	}

	private void checkKinds(SettingsChecks checks) {
		checks.require(!this.kinds.isEmpty(), "--kind", "at least one kind is required");
		for (String name : this.kinds) {
			checks.require(findKind(name).isPresent(), "--kind", name + " is not a kind of odd answer");
		}
	}

	private static void checkFile(SettingsChecks checks, String flag, String file) {
		if (!file.isEmpty()) {
			Path directory = Path.of(file).toAbsolutePath().getParent();
			checks.require(directory != null && Files.isDirectory(directory), flag,
					"the directory of " + file + " does not exist");
		}
	}

	private static Optional<Oddity> findKind(String name) {
		return Arrays.stream(Oddity.values())
			.filter((kind) -> kind.name().toLowerCase(Locale.ROOT).replace('_', '-').equals(name))
			.findFirst();
	}

	/**
	 * Returns the settings of each run. Must be called after the validation.
	 * @return the profile
	 */
	LoadProfile toProfile() {
		List<Oddity> oddities = this.kinds.stream().map((name) -> findKind(name).orElseThrow()).toList();
		return new LoadProfile(this.seed, seconds(this.seconds), this.servers,
				(this.oddServers < 0) ? this.servers : this.oddServers, this.slots, this.callers,
				seconds(this.thinkMillis / 1e3), seconds(this.workMillis / 1e3), this.bodyBytes, oddities,
				this.failShare, this.refuseShare, this.resetShare, seconds(this.suspectMillis / 1e3),
				seconds(this.slowStartMillis / 1e3));
	}

	private static Duration seconds(double seconds) {
		return Duration.ofNanos((long) (seconds * 1e9));
	}

	List<Double> shares() {
		return this.share.map(List::of).orElse(this.sweep);
	}

	int rounds() {
		return this.rounds;
	}

	Duration warmUp() {
		return seconds(this.warmUpSeconds);
	}

	Optional<Path> tableFile() {
		return this.tableFile.isEmpty() ? Optional.empty() : Optional.of(Path.of(this.tableFile));
	}

	Optional<Path> pictureFile() {
		return this.pictureFile.isEmpty() ? Optional.empty() : Optional.of(Path.of(this.pictureFile));
	}

}
