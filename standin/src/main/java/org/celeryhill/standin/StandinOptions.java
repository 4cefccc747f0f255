package org.celeryhill.standin;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import org.celeryhill.fake.FakeEngineMemory;
import org.celeryhill.fake.FakeEngineSettings;
import org.celeryhill.fake.FakeWeightStore;
import org.celeryhill.http.SettingsChecks;
import picocli.CommandLine.Option;

/**
 * Settings of the stand-ins, set by picocli from flags and environment variables. Not
 * thread-safe.
 */
final class StandinOptions {

	/** Bytes per GiB. */
	private static final long GIB = 1L << 30;

	/** Loopback address that all stand-ins listen on. */
	@Option(names = "--address", defaultValue = "127.0.0.1", description = "Loopback address to listen on.")
	private String address;

	/** Port of the admin server, 0 for any free port. */
	@Option(names = "--admin-port", defaultValue = "0",
			description = "Port of the admin endpoint, 0 for any free port.")
	private int adminPort;

	/** File that the addresses of the stand-ins are written to, null for none. */
	@Option(names = "--addresses-file",
			description = "File to which NAME=URI lines are written when all stand-ins listen.")
	private Path addressesFile;

	/** Service that the engines belong to. */
	@Option(names = "--engine-service", defaultValue = "beater-llm", description = "Service of the engines.")
	private String engineService;

	/** Number of engines. */
	@Option(names = "--engines", defaultValue = "8", description = "Number of engines.")
	private int engines;

	/** Memory for weights of each engine in GiB. */
	@Option(names = "--engine-memory-gib", defaultValue = "80",
			description = "Memory for weights of each engine in GiB.")
	private int engineMemoryGib;

	/** Memory of each engine that the legacy system uses, in GiB. */
	@Option(names = "--legacy-memory-gib", defaultValue = "0",
			description = "Part of the memory of each engine that the legacy system uses, in GiB.")
	private int legacyMemoryGib;

	/** Service that the plain service servers belong to. */
	@Option(names = "--plain-service", defaultValue = "dispatch", description = "Service of the plain service servers.")
	private String plainService;

	/** Number of plain service servers. */
	@Option(names = "--plain-servers", defaultValue = "3", description = "Number of plain service servers.")
	private int plainServers;

	/** Most streams in the batch of an engine. */
	@Option(names = "--slots", defaultValue = "64",
			description = "Maximum number of streams in the batch of an engine.")
	private int slots;

	/** Size of the KV cache of an engine in tokens. */
	@Option(names = "--kv-tokens", defaultValue = "200000",
			description = "Size of the KV cache of an engine in tokens.")
	private long kvTokens;

	/** Duration of a decode step without streams in microseconds. */
	@Option(names = "--step-micros", defaultValue = "15000",
			description = "Duration of a decode step without streams in microseconds.")
	private long stepMicros;

	/** Time that each stream adds to a decode step in microseconds. */
	@Option(names = "--stream-micros", defaultValue = "100",
			description = "Time that each stream adds to a decode step, in microseconds.")
	private long streamMicros;

	/** Prefill rate of an engine in tokens per second. */
	@Option(names = "--prefill-rate", defaultValue = "20000",
			description = "Prefill rate of an engine in tokens per second.")
	private double prefillRate;

	/** Delay of engine reports and cache events in ms. */
	@Option(names = "--report-lag-ms", defaultValue = "500",
			description = "Delay of engine reports and cache events in ms.")
	private long reportLagMillis;

	/** Model loads per second that the fully used weight store completes. */
	@Option(names = "--weight-loads-per-second", defaultValue = "1.5",
			description = "Model loads per second that the fully used weight store completes.")
	private double weightLoadsPerSecond;

	/** Most model loads at once that the weight store serves at full speed. */
	@Option(names = "--weight-loads-at-once", defaultValue = "11",
			description = "Maximum number of concurrent model loads at full speed.")
	private int weightLoadsAtOnce;

	/** Models and adapters in the weight store with their sizes. */
	@Option(names = "--weight", paramLabel = "MODEL=BYTES[:adapter]",
			description = "Model or adapter in the weight store with its size; repeatable.")
	private List<String> weights = List.of();

	/** Entry hosts in the host list with their addresses. */
	@Option(names = "--entry-host", paramLabel = "ID=URI",
			description = "Entry host in the host list with its address; repeatable.")
	private List<String> entryHosts = List.of();

	/** Data centres that the stand-ins are assigned to in round-robin order. */
	@Option(names = "--data-centres", split = ",", defaultValue = "dc-1,dc-2,dc-3",
			description = "Data centres to which the stand-ins are assigned in turn.")
	private List<String> dataCentres;

	/** Region of all data centres. */
	@Option(names = "--region", defaultValue = "bc-lower", description = "Region of the data centres.")
	private String region;

	/** Seed of the random faults. */
	@Option(names = "--seed", defaultValue = "1", description = "Seed of the random faults.")
	private long seed;

	SettingsChecks validate() {
		return SettingsChecks.create()
			.requireAddress("--address", this.address)
			.require(this.address.startsWith("127.") || "::1".equals(this.address), "--address",
					"stand-ins listen on loopback only")
			.requirePort("--admin-port", this.adminPort)
			.requireRange("--engines", this.engines, 0, 256)
			.requireRange("--plain-servers", this.plainServers, 0, 64)
			.requireRange("--engine-memory-gib", this.engineMemoryGib, 1, 4096)
			.requireRange("--legacy-memory-gib", this.legacyMemoryGib, 0, this.engineMemoryGib)
			.requireRange("--slots", this.slots, 1, 100_000)
			.requireRange("--kv-tokens", this.kvTokens, 1, 1e12)
			.requireRange("--step-micros", this.stepMicros, 1, 1e9)
			.requireRange("--stream-micros", this.streamMicros, 0, 1e9)
			.requireRange("--prefill-rate", this.prefillRate, 1, 1e9)
			.requireRange("--report-lag-ms", this.reportLagMillis, 1, 600_000)
			.requireRange("--weight-loads-per-second", this.weightLoadsPerSecond, 1e-3, 1e6)
			.requireRange("--weight-loads-at-once", this.weightLoadsAtOnce, 1, 1e6)
			.require(this.weights.stream().allMatch((text) -> text.matches("[^=]+=\\d{1,18}(:adapter)?")), "--weight",
					"must have the form MODEL=BYTES or MODEL=BYTES:adapter")
			.require(this.entryHosts.stream().allMatch((text) -> text.matches("[^=]+=http://.+:\\d+")), "--entry-host",
					"must have the form ID=http://ADDRESS:PORT");
	}

	FakeEngineSettings engineSettings() {
		return FakeEngineSettings.defaults()
			.withBatchLimits(this.slots, this.kvTokens, 4 * this.slots)
			.withStepTimes(Duration.ofNanos(this.stepMicros * 1000), Duration.ofNanos(this.streamMicros * 1000))
			.withPrefillRate(this.prefillRate)
			.withReportProperties(Duration.ofMillis(this.reportLagMillis), 0.05);
	}

	FakeEngineMemory.Settings memorySettings(boolean isTokenChecked) {
		return new FakeEngineMemory.Settings(this.engineMemoryGib * GIB, this.legacyMemoryGib * GIB, isTokenChecked,
				256, Duration.ofMillis(1), Duration.ofMillis(100));
	}

	FakeWeightStore.LoadSpeed modelSpeed() {
		return FakeWeightStore.LoadSpeed.ofRate(this.weightLoadsPerSecond, this.weightLoadsAtOnce);
	}

	String address() {
		return this.address;
	}

	int adminPort() {
		return this.adminPort;
	}

	Path addressesFile() {
		return this.addressesFile;
	}

	String engineService() {
		return this.engineService;
	}

	int engines() {
		return this.engines;
	}

	String plainService() {
		return this.plainService;
	}

	int plainServers() {
		return this.plainServers;
	}

	int slots() {
		return this.slots;
	}

	List<String> weights() {
		return this.weights;
	}

	List<String> entryHosts() {
		return this.entryHosts;
	}

	String dataCentre(int index) {
		return this.dataCentres.get(index % this.dataCentres.size());
	}

	String region() {
		return this.region;
	}

	long seed() {
		return this.seed;
	}

}
