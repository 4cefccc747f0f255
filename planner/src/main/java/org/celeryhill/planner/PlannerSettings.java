package org.celeryhill.planner;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.celeryhill.http.SettingsChecks;
import picocli.CommandLine.Option;

/**
 * Settings of the planner daemon, read from the command line. Not thread-safe until the
 * daemon has started.
 */
final class PlannerSettings {

	/** IP address, in brackets if it is IPv6, and port. */
	private static final Pattern SEED_ADDRESS = Pattern
		.compile("(\\d+\\.\\d+\\.\\d+\\.\\d+|\\[[0-9a-fA-F:]+\\]):(\\d{1,5})");

	@Option(names = "--host-id", description = "Id of this host; at most one planner daemon runs on a host.")
	String hostId;

	@Option(names = "--data-centre", description = "Data centre of this host.")
	String dataCentre;

	@Option(names = "--region", description = "Region of this host.")
	String region;

	@Option(names = "--address", defaultValue = "127.0.0.1", description = "IP number to listen on.")
	String address;

	@Option(names = "--admin-port", defaultValue = "8091", description = "Port for operators, 0 for any.")
	int adminPort;

	@Option(names = "--peer-port", defaultValue = "8092", description = "Port of the peer protocol, 0 for any.")
	int peerPort;

	@Option(names = "--entry-peer-port", defaultValue = "8082",
			description = "Port of the peer protocol of the entry daemons.")
	int entryPeerPort;

	@Option(names = "--peer-seeds", split = ",",
			description = "Addresses of other processes in addition to the host list, as IP:port, separated by commas.")
	List<String> peerSeeds;

	@Option(names = "--host-list-url", description = "Address of the platform's host list.")
	URI hostListUrl;

	@Option(names = "--table-url", description = "Address of the table service.")
	URI tableUrl;

	@Option(names = "--object-url", description = "Address of the object service.")
	URI objectUrl;

	@Option(names = "--lease-duration", defaultValue = "PT9S",
			description = "Duration of leases; another planner takes over after it.")
	Duration leaseDuration;

	@Option(names = "--round-period", defaultValue = "PT1S", description = "Time between two planning rounds.")
	Duration roundPeriod;

	@Option(names = "--head-period", defaultValue = "PT2S",
			description = "Time between readings of the configuration head.")
	Duration headPeriod;

	@Option(names = "--stop-period", defaultValue = "PT2S", description = "Time between readings of planned stops.")
	Duration stopPeriod;

	@Option(names = "--demand-period", defaultValue = "PT5S", description = "Time between readings of the demand.")
	Duration demandPeriod;

	@Option(names = "--suspect-after", defaultValue = "PT4S",
			description = "Silence after which an engine counts as lost.")
	Duration suspectAfter;

	@Option(names = "--resend-after", defaultValue = "PT3S",
			description = "Time after which a command without effect is sent again.")
	Duration resendAfter;

	@Option(names = "--command-copy-bound", defaultValue = "PT60S",
			description = "Longest time that a copy of a command can travel after its sending has ended.")
	Duration commandCopyBound;

	@Option(names = "--host-gone-after", defaultValue = "PT60S",
			description = "Absence from the host list after which the processes of a host count as ended.")
	Duration hostGoneAfter;

	@Option(names = "--store-timeout", defaultValue = "PT2S", description = "Longest wait for a platform service.")
	Duration storeTimeout;

	@Option(names = "--connect-timeout", defaultValue = "PT0.5S", description = "Longest wait for a connection.")
	Duration connectTimeout;

	@Option(names = "--worker-threads", defaultValue = "16", description = "Threads that talk to engines.")
	int workerThreads;

	@Option(names = "--verbose", description = "Writes debug events to the log.")
	boolean isVerbose;

	/**
	 * Checks all settings.
	 * @return the checks with all findings, never null
	 */
	SettingsChecks check() {
		SettingsChecks checks = SettingsChecks.create();
		return checks.requireText("--host-id", this.hostId)
			.requireText("--data-centre", this.dataCentre)
			.requireText("--region", this.region)
			.requireAddress("--address", this.address)
			.requirePort("--admin-port", this.adminPort)
			.requirePort("--peer-port", this.peerPort)
			.requireRange("--entry-peer-port", this.entryPeerPort, 1, 65535)
			.require(parsePeerSeeds().isPresent(), "--peer-seeds", "must be IP:port pairs separated by commas")
			.requireHttpUri("--host-list-url", this.hostListUrl)
			.requireHttpUri("--table-url", this.tableUrl)
			.requireHttpUri("--object-url", this.objectUrl)
			.requirePositive("--lease-duration", this.leaseDuration)
			.requirePositive("--round-period", this.roundPeriod)
			.requirePositive("--head-period", this.headPeriod)
			.requirePositive("--stop-period", this.stopPeriod)
			.requirePositive("--demand-period", this.demandPeriod)
			.requirePositive("--suspect-after", this.suspectAfter)
			.requirePositive("--resend-after", this.resendAfter)
			.requirePositive("--command-copy-bound", this.commandCopyBound)
			.requirePositive("--host-gone-after", this.hostGoneAfter)
			.requirePositive("--store-timeout", this.storeTimeout)
			.requirePositive("--connect-timeout", this.connectTimeout)
			.requireRange("--worker-threads", this.workerThreads, 2, 1024)
			.require(this.roundPeriod.multipliedBy(3).compareTo(this.leaseDuration) <= 0, "--lease-duration",
					"must be at least three times --round-period, so that a renewal can be missed");
	}

	/**
	 * Parses the addresses of {@code --peer-seeds}.
	 * @return the addresses, or empty if one of them is not an IP address with a port
	 */
	Optional<List<InetSocketAddress>> parsePeerSeeds() {
		List<InetSocketAddress> addresses = new ArrayList<>();
		for (String seed : (this.peerSeeds != null) ? this.peerSeeds : List.<String>of()) {
			if (seed.isBlank()) {
				continue;
			}
			Matcher matcher = SEED_ADDRESS.matcher(seed.strip());
			if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > 65535) {
				return Optional.empty();
			}
			addresses.add(new InetSocketAddress(matcher.group(1), Integer.parseInt(matcher.group(2))));
		}
		return Optional.of(addresses);
	}

}
