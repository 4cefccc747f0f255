package org.celeryhill.standin;

import java.net.URI;
import java.time.Duration;
import java.util.List;

import org.celeryhill.http.SettingsChecks;
import picocli.CommandLine.Option;

/**
 * Settings of the load generator, set by picocli from flags and environment variables.
 * Not thread-safe.
 */
final class LoadOptions {

	/** Addresses that requests are sent to in round-robin order. */
	@Option(names = "--target", split = ",",
			description = "Addresses of entry daemons, or of engines with --direct, used in turn.")
	private List<URI> targets = List.of();

	/** Whether the targets are engines, not entry daemons. */
	@Option(names = "--direct", description = "Uses the wire format of an engine.")
	private boolean isDirect;

	/** Requests per second. */
	@Option(names = "--rate", defaultValue = "10", description = "Requests per second.")
	private double rate;

	/** Most streams at once. */
	@Option(names = "--concurrency", defaultValue = "1000",
			description = "Maximum number of concurrent streams; a start that has to wait counts as late.")
	private int concurrency;

	/** Length of the measured period. */
	@Option(names = "--duration", defaultValue = "PT20S", description = "Period in which requests are measured.")
	private Duration duration;

	/** Length of the period before it, whose requests are not measured. */
	@Option(names = "--warm-up", defaultValue = "PT10S",
			description = "Period before the measurement, whose requests are not measured.")
	private Duration warmUp;

	/** Number of tokens of each output. */
	@Option(names = "--tokens", defaultValue = "250", description = "Number of tokens of a response, at most 255.")
	private int tokens;

	/** Length of each prompt in characters. */
	@Option(names = "--prompt-chars", defaultValue = "400", description = "Length of a prompt in characters.")
	private int promptChars;

	/** Models that are requested in round-robin order. */
	@Option(names = "--model", split = ",", description = "Models that are requested, in turn.")
	private List<String> models = List.of();

	/** API key for the entry daemons. */
	@Option(names = "--api-key", defaultValue = "", description = "API key for the entry daemons.")
	private String apiKey;

	/** Priority class of the requests. */
	@Option(names = "--priority", defaultValue = "urgent",
			description = "Priority class of the requests: urgent, normal or batch.")
	private String priority;

	/** Id of the process whose CPU time and memory are reported, 0 for none. */
	@Option(names = "--watch-pid", defaultValue = "0",
			description = "Id of the process whose CPU time and memory are reported, 0 for none.")
	private long watchPid;

	SettingsChecks validate() {
		SettingsChecks checks = SettingsChecks.create()
			.require(!this.targets.isEmpty(), "--target", "at least one address is required")
			.require(!this.models.isEmpty(), "--model", "at least one model is required")
			.requireRange("--rate", this.rate, 0.01, 10_000)
			.requireRange("--concurrency", this.concurrency, 1, 10_000)
			.requireRange("--tokens", this.tokens, 1, 255)
			.requireRange("--prompt-chars", this.promptChars, 1, 100_000)
			.requireRange("--duration", this.duration.toMillis() / 1e3, 0.1, 600)
			.requireRange("--warm-up", this.warmUp.toMillis() / 1e3, 0, 600)
			.require(List.of("urgent", "normal", "batch").contains(this.priority), "--priority",
					"must be urgent, normal or batch");
		for (URI target : this.targets) {
			checks.requireHttpUri("--target", target)
				.require(target.getHost() != null && target.getHost().startsWith("127."), "--target",
						"load is sent to loopback addresses only");
		}
		return checks;
	}

	URI target(long index) {
		return this.targets.get((int) (index % this.targets.size()));
	}

	List<URI> targets() {
		return this.targets;
	}

	String model(long index) {
		return this.models.get((int) (index % this.models.size()));
	}

	boolean isDirect() {
		return this.isDirect;
	}

	double rate() {
		return this.rate;
	}

	int concurrency() {
		return this.concurrency;
	}

	Duration duration() {
		return this.duration;
	}

	Duration warmUp() {
		return this.warmUp;
	}

	int tokens() {
		return this.tokens;
	}

	int promptChars() {
		return this.promptChars;
	}

	String apiKey() {
		return this.apiKey;
	}

	String priority() {
		return this.priority;
	}

	long watchPid() {
		return this.watchPid;
	}

}
