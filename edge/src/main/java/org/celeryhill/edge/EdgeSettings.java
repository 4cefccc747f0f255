package org.celeryhill.edge;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.celeryhill.base.Finding;
import org.celeryhill.platform.ServerEntryCodec;
import org.celeryhill.quota.QuotaBound;
import picocli.CommandLine.Option;

/**
 * Settings of an edge daemon, given as command-line options or environment variables.
 * Populated by picocli, validated by {@link #check()} and not modified afterwards.
 */
final class EdgeSettings {

	private static final String DEFAULT_METRICS_PORT = "9464";

	private static final String DEFAULT_LEASE_MS = "3000";

	private static final String DEFAULT_GRACE_S = "8";

	private static final String DEFAULT_LOAD_WINDOW_S = "5";

	private static final String DEFAULT_RETRY_RATIO = "0.2";

	private static final String DEFAULT_RETRY_SLACK = "52";

	@Option(names = "--host-id", required = true, description = "Unique id of this host.")
	String hostId;

	@Option(names = "--data-centre", required = true, description = "Data centre of this host.")
	String dataCentre;

	@Option(names = "--region", required = true, description = "Region of this host.")
	String region;

	@Option(names = "--front", required = true, description = "IP:PORT that accepts requests from callers.")
	String front;

	@Option(names = "--ready", required = true,
			description = "IP:PORT that responds to readiness checks of the load balancer.")
	String ready;

	@Option(names = "--peer", defaultValue = "",
			description = "IP:PORT that accepts messages from other edge daemons; must not be empty.")
	String peer;

	@Option(names = "--seeds", defaultValue = "", description = "IP:PORT of other edge daemons, separated by commas.")
	String seeds;

	@Option(names = "--metrics-port", defaultValue = DEFAULT_METRICS_PORT,
			description = "Port that serves the metrics and the state dump.")
	int metricsPort;

	@Option(names = "--store", required = true, description = "IP:PORT of the platform's store.")
	String store;

	@Option(names = "--lease-ms", defaultValue = DEFAULT_LEASE_MS,
			description = "Minimum time in ms between the commands of two successive lease holders.")
	long leaseMillis;

	@Option(names = "--grace-s", defaultValue = DEFAULT_GRACE_S, description = "Time in s from SIGTERM to SIGKILL.")
	double graceSeconds;

	@Option(names = "--load-window-s", defaultValue = DEFAULT_LOAD_WINDOW_S,
			description = "Window in s over which model loads from the weight store are counted.")
	double loadWindowSeconds;

	@Option(names = "--retry-ratio", defaultValue = DEFAULT_RETRY_RATIO,
			description = "Retry budget as a fraction of the requests, from 0 to 1; each host uses half of it.")
	double retryRatio;

	@Option(names = "--retry-slack", defaultValue = DEFAULT_RETRY_SLACK,
			description = "Retries beyond that fraction that all hosts together may send at once.")
	double retrySlack;

	@Option(names = "--quota-window-s", defaultValue = "",
			description = "Window in s over which the units of an organisation are counted; empty for none.")
	String quotaWindowSeconds;

	@Option(names = "--quota-overage", defaultValue = "",
			description = "Tolerated excess over the quota of a window as a fraction; empty for none.")
	String quotaOverage;

	@Option(names = "--quota-slack", defaultValue = "",
			description = "Tolerated excess over the quota of a window in units; empty for none.")
	String quotaSlack;

	/**
	 * Sets all settings from the values of a plain command line. Keeps the settings that
	 * picocli would set; the test of {@link PlainArguments} compares them.
	 * @param values the values, not null
	 * @throws IllegalArgumentException if a required value is missing or a number is not
	 * plain
	 */
	void set(PlainArguments values) {
		this.hostId = values.required("--host-id");
		this.dataCentre = values.required("--data-centre");
		this.region = values.required("--region");
		this.front = values.required("--front");
		this.ready = values.required("--ready");
		this.peer = values.text("--peer", "");
		this.seeds = values.text("--seeds", "");
		this.metricsPort = (int) values.integer("--metrics-port", DEFAULT_METRICS_PORT);
		this.store = values.required("--store");
		this.leaseMillis = values.integer("--lease-ms", DEFAULT_LEASE_MS);
		this.graceSeconds = values.decimal("--grace-s", DEFAULT_GRACE_S);
		this.loadWindowSeconds = values.decimal("--load-window-s", DEFAULT_LOAD_WINDOW_S);
		this.retryRatio = values.decimal("--retry-ratio", DEFAULT_RETRY_RATIO);
		this.retrySlack = values.decimal("--retry-slack", DEFAULT_RETRY_SLACK);
		this.quotaWindowSeconds = values.text("--quota-window-s", "");
		this.quotaOverage = values.text("--quota-overage", "");
		this.quotaSlack = values.text("--quota-slack", "");
		values.requireAllUsed();
	}

	/**
	 * Validates the settings.
	 * @return a finding for each invalid setting, empty if all are valid, never null
	 */
	List<Finding> check() {
		List<Finding> findings = new ArrayList<>();
		checkAddress("--front", this.front, findings);
		checkAddress("--ready", this.ready, findings);
		checkAddress("--store", this.store, findings);
		checkAddress("--peer", this.peer, findings);
		for (String seed : seedTexts()) {
			checkAddress("--seeds", seed, findings);
		}
		checkPositive("--lease-ms", this.leaseMillis, findings);
		checkPositive("--grace-s", this.graceSeconds, findings);
		checkPositive("--load-window-s", this.loadWindowSeconds, findings);
		if (!(this.retryRatio >= 0 && this.retryRatio <= 1)) {
			findings.add(Finding.error("settings", 0, "--retry-ratio", "must be between 0 and 1"));
		}
		if (!(this.retrySlack >= 0)) {
			findings.add(Finding.error("settings", 0, "--retry-slack", "must not be negative"));
		}
		checkTolerance("--quota-window-s", this.quotaWindowSeconds, findings);
		checkTolerance("--quota-overage", this.quotaOverage, findings);
		checkTolerance("--quota-slack", this.quotaSlack, findings);
		if (this.metricsPort < 0 || this.metricsPort > 65_535) {
			findings.add(Finding.error("settings", 0, "--metrics-port", "must be between 0 and 65535"));
		}
		return findings;
	}

	private static void checkAddress(String flag, String text, List<Finding> findings) {
		try {
			ServerEntryCodec.address(text);
		}
		catch (IllegalArgumentException ex) {
			findings.add(Finding.error("settings", 0, flag, ex.getMessage()));
		}
	}

	private static void checkPositive(String flag, double value, List<Finding> findings) {
		if (!(value > 0)) {
			findings.add(Finding.error("settings", 0, flag, "must be positive"));
		}
	}

	private static void checkTolerance(String flag, String text, List<Finding> findings) {
		try {
			double value = toleranceOf(text);
			if (!(value >= 0) || Double.isInfinite(value)) {
				findings.add(Finding.error("settings", 0, flag, "must not be negative"));
			}
		}
		catch (NumberFormatException ex) {
			findings.add(Finding.error("settings", 0, flag, "must be a number"));
		}
	}

	// A deployment without quotas has an empty value.
	private static double toleranceOf(String text) {
		return text.isBlank() ? 0 : Double.parseDouble(text.strip());
	}

	QuotaBound quotaBound() {
		Duration window = Duration.ofNanos((long) (toleranceOf(this.quotaWindowSeconds) * 1e9));
		return new QuotaBound(window, toleranceOf(this.quotaOverage), toleranceOf(this.quotaSlack));
	}

	private List<String> seedTexts() {
		return this.seeds.isBlank() ? List.of() : List.of(this.seeds.split(","));
	}

	InetSocketAddress frontAddress() {
		return ServerEntryCodec.address(this.front);
	}

	InetSocketAddress readyAddress() {
		return ServerEntryCodec.address(this.ready);
	}

	InetSocketAddress storeAddress() {
		return ServerEntryCodec.address(this.store);
	}

	InetSocketAddress metricsAddress() {
		return new InetSocketAddress(frontAddress().getAddress(), this.metricsPort);
	}

	List<InetSocketAddress> seedAddresses() {
		return seedTexts().stream().map(ServerEntryCodec::address).toList();
	}

	Duration grace() {
		return Duration.ofNanos((long) (this.graceSeconds * 1e9));
	}

}
