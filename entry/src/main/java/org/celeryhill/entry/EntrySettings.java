package org.celeryhill.entry;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.celeryhill.http.SettingsChecks;
import picocli.CommandLine.Option;

/**
 * Settings of the daemon. Each is a flag {@code --x-y} and an environment variable
 * {@code CELERYHILL_X_Y}. Durations are in ISO-8601 form such as {@code PT0.5S}. Picocli
 * sets the fields once at startup; they are only read afterwards.
 */
public final class EntrySettings {

	@Option(names = "--host-id", description = "Id of this entry host.")
	String hostId;

	@Option(names = "--data-centre", description = "Data centre of this host.")
	String dataCentre;

	@Option(names = "--region", description = "Region of this host.")
	String region;

	@Option(names = "--address", defaultValue = "127.0.0.1", description = "IP address to listen on.")
	String address;

	@Option(names = "--api-port", defaultValue = "8080", description = "Port of the callers' API, 0 for any free port.")
	int apiPort;

	@Option(names = "--admin-port", defaultValue = "8081",
			description = "Port of the admin API for operators, 0 for any free port.")
	int adminPort;

	@Option(names = "--peer-port", defaultValue = "8082",
			description = "Port of the peer protocol, as in the host list; 0 to run without peers.")
	int peerPort;

	@Option(names = "--host-list-url", description = "Base URL of the platform's host list.")
	URI hostListUrl;

	@Option(names = "--table-url", description = "Base URL of the table service.")
	URI tableUrl;

	@Option(names = "--object-url", description = "Base URL of the object service.")
	URI objectUrl;

	@Option(names = "--event-id-key", description = "Key that signs event ids, the same on all entry hosts.")
	String eventIdKey;

	@Option(names = "--event-id-old-key",
			description = "Previous key, with which event ids are still accepted; optional.")
	String eventIdOldKey;

	@Option(names = "--max-body-bytes", defaultValue = "1048576",
			description = "Maximum size of a request body, in bytes.")
	int maxBodyBytes;

	@Option(names = "--max-held-bytes", defaultValue = "67108864",
			description = "Maximum total size of the bodies of all open requests, in bytes.")
	long maxHeldBytes;

	@Option(names = "--max-header-bytes", defaultValue = "16384",
			description = "Maximum size of the path and headers of a request, in bytes.")
	int maxHeaderBytes;

	@Option(names = "--body-timeout", defaultValue = "PT10S",
			description = "Maximum time to receive the head of a request, and again to receive its body.")
	Duration bodyTimeout;

	@Option(names = "--idle-timeout", defaultValue = "PT120S",
			description = "Time after which a connection without traffic is closed.")
	Duration idleTimeout;

	@Option(names = "--max-requests", defaultValue = "2000", description = "Maximum number of open requests.")
	int maxRequests;

	@Option(names = "--max-pending-bytes", defaultValue = "262144",
			description = "Maximum number of bytes of one stream that are queued for a slow caller.")
	int maxPendingBytes;

	@Option(names = "--default-max-tokens", defaultValue = "256",
			description = "Maximum number of tokens of a response if the request does not set max_tokens.")
	int defaultMaxTokens;

	@Option(names = "--max-tokens", defaultValue = "8192",
			description = "Largest value of max_tokens that a request may set.")
	int maxTokens;

	@Option(names = "--first-token-timeout", defaultValue = "PT20S",
			description = "Maximum wait for the first token from an engine.")
	Duration firstTokenTimeout;

	@Option(names = "--stall-timeout", defaultValue = "PT5S",
			description = "Maximum wait between two tokens from an engine.")
	Duration stallTimeout;

	@Option(names = "--resume-timeout", defaultValue = "PT1S",
			description = "Maximum wait for the first event from an engine that resumes a stream.")
	Duration resumeTimeout;

	@Option(names = "--call-timeout", defaultValue = "PT10S",
			description = "Maximum wait for the response of a plain service.")
	Duration callTimeout;

	@Option(names = "--claim-wait", defaultValue = "PT5S",
			description = "Maximum wait for the end of another call with the same idempotency key.")
	Duration claimWait;

	@Option(names = "--claim-timeout", defaultValue = "PT60S",
			description = "Age after which the outcome of a running claim counts as unknown.")
	Duration claimTimeout;

	@Option(names = "--store-timeout", defaultValue = "PT2S",
			description = "Maximum wait for a platform service, or for a backend server in a control call.")
	Duration storeTimeout;

	@Option(names = "--connect-timeout", defaultValue = "PT0.5S",
			description = "Maximum time to establish a connection.")
	Duration connectTimeout;

	@Option(names = "--report-period", defaultValue = "PT0.5S",
			description = "Minimum time between two polls of one backend server.")
	Duration reportPeriod;

	@Option(names = "--reports-per-second", defaultValue = "60",
			description = "Maximum number of polls of backend servers per second.")
	int reportsPerSecond;

	@Option(names = "--host-list-period", defaultValue = "PT1S",
			description = "Time between two reads of the host list.")
	Duration hostListPeriod;

	@Option(names = "--stop-period", defaultValue = "PT2S",
			description = "Time between two reads of the planned stops, at most PT4S.")
	Duration stopPeriod;

	@Option(names = "--head-period", defaultValue = "PT2S",
			description = "Time between two reads of the configuration head.")
	Duration headPeriod;

	@Option(names = "--demand-period", defaultValue = "PT5S",
			description = "Time between two publications of the demand.")
	Duration demandPeriod;

	@Option(names = "--usage-period", defaultValue = "PT0.5S",
			description = "Time between two publications of the usage.")
	Duration usagePeriod;

	@Option(names = "--balancer-delay", defaultValue = "PT3S",
			description = "Time from reporting not ready to refusing requests, for the load balancer to react.")
	Duration balancerDelay;

	@Option(names = "--drain-timeout", defaultValue = "PT30S",
			description = "Maximum time for running requests to end during shutdown.")
	Duration drainTimeout;

	@Option(names = "--io-threads", defaultValue = "2", description = "Number of threads that serve connections.")
	int ioThreads;

	@Option(names = "--worker-threads", defaultValue = "64", description = "Number of threads that run blocking calls.")
	int workerThreads;

	@Option(names = "--max-legacy-attempts", defaultValue = "500",
			description = "Maximum number of concurrent attempts at the legacy system.")
	int maxLegacyAttempts;

	@Option(names = "--verbose", description = "Writes debug events to the log.")
	boolean isVerbose;

	/**
	 * Validates all settings.
	 * @return the checks with all findings, never null
	 */
	SettingsChecks validate() {
		SettingsChecks checks = SettingsChecks.create();
		checks.requireText("--host-id", this.hostId)
			.requireText("--data-centre", this.dataCentre)
			.requireText("--region", this.region)
			.requireAddress("--address", this.address)
			.requirePort("--api-port", this.apiPort)
			.requirePort("--admin-port", this.adminPort)
			.requirePort("--peer-port", this.peerPort)
			.requireHttpUri("--host-list-url", this.hostListUrl)
			.requireHttpUri("--table-url", this.tableUrl)
			.requireHttpUri("--object-url", this.objectUrl);
		checkEventIdKeys(checks);
		checkSizes(checks);
		checkDurations(checks);
		return checks;
	}

	private void checkEventIdKeys(SettingsChecks checks) {
		int min = EventIdCodec.MIN_KEY_BYTES;
		checks.requireText("--event-id-key", this.eventIdKey);
		checks.require(this.eventIdKey == null || toBytes(this.eventIdKey).length >= min, "--event-id-key",
				"the key must have at least " + min + " bytes");
		checks.require(this.eventIdOldKey == null || toBytes(this.eventIdOldKey).length >= min, "--event-id-old-key",
				"the key must have at least " + min + " bytes");
	}

	private void checkSizes(SettingsChecks checks) {
		checks.requireRange("--max-body-bytes", this.maxBodyBytes, 1024, 64 << 20)
			.requireRange("--max-held-bytes", this.maxHeldBytes, this.maxBodyBytes, 16L << 30)
			.requireRange("--max-header-bytes", this.maxHeaderBytes, 2048, 1 << 20)
			.requireRange("--max-requests", this.maxRequests, 1, 100_000)
			.requireRange("--max-pending-bytes", this.maxPendingBytes, 16_384, 64 << 20)
			.requireRange("--max-tokens", this.maxTokens, 1, 1_000_000)
			.requireRange("--default-max-tokens", this.defaultMaxTokens, 1, this.maxTokens)
			.requireRange("--reports-per-second", this.reportsPerSecond, 1, 10_000)
			.requireRange("--io-threads", this.ioThreads, 1, 64)
			.requireRange("--worker-threads", this.workerThreads, 4, 1024)
			.requireRange("--max-legacy-attempts", this.maxLegacyAttempts, 1, 100_000);
	}

	private void checkDurations(SettingsChecks checks) {
		checks.requirePositive("--body-timeout", this.bodyTimeout)
			.requirePositive("--idle-timeout", this.idleTimeout)
			.requirePositive("--first-token-timeout", this.firstTokenTimeout)
			.requirePositive("--stall-timeout", this.stallTimeout)
			.requirePositive("--resume-timeout", this.resumeTimeout)
			.requirePositive("--call-timeout", this.callTimeout)
			.requirePositive("--claim-wait", this.claimWait)
			.requirePositive("--claim-timeout", this.claimTimeout)
			.requirePositive("--store-timeout", this.storeTimeout)
			.requirePositive("--connect-timeout", this.connectTimeout)
			.requirePositive("--report-period", this.reportPeriod)
			.requirePositive("--host-list-period", this.hostListPeriod)
			.requirePositive("--stop-period", this.stopPeriod)
			.requirePositive("--head-period", this.headPeriod)
			.requirePositive("--demand-period", this.demandPeriod)
			.requirePositive("--usage-period", this.usagePeriod)
			.requirePositive("--drain-timeout", this.drainTimeout)
			.require(!this.balancerDelay.isNegative(), "--balancer-delay", "must not be negative")
			.require(this.stopPeriod.toSeconds() <= 4, "--stop-period",
					"must be at most PT4S, since a leaving server must get no new request after 5 s")
			.require(this.idleTimeout.compareTo(this.firstTokenTimeout) > 0, "--idle-timeout",
					"must exceed --first-token-timeout")
			.require(this.claimTimeout.compareTo(this.callTimeout) > 0, "--claim-timeout",
					"must exceed --call-timeout");
	}

	List<byte[]> eventIdKeys() {
		List<byte[]> keys = new ArrayList<>();
		keys.add(toBytes(this.eventIdKey));
		Optional.ofNullable(this.eventIdOldKey).map(EntrySettings::toBytes).ifPresent(keys::add);
		return keys;
	}

	GenerationTimeouts generationTimeouts() {
		return new GenerationTimeouts(this.firstTokenTimeout, this.stallTimeout, this.resumeTimeout);
	}

	ApiLimits apiLimits() {
		return new ApiLimits(this.maxBodyBytes, this.maxHeldBytes, this.maxHeaderBytes, this.bodyTimeout,
				this.idleTimeout, this.maxRequests, this.maxPendingBytes);
	}

	private static byte[] toBytes(String key) {
		return key.getBytes(StandardCharsets.UTF_8);
	}

}
