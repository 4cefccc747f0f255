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

	@Option(names = "--address", defaultValue = "127.0.0.1", description = "IP address to listen on.")
	String address;

	@Option(names = "--admin-port", defaultValue = "8091",
			description = "Port of the admin API for operators, 0 for any free port.")
	int adminPort;

	@Option(names = "--peer-port", defaultValue = "8092",
			description = "Port of the peer protocol, 0 for any free port.")
	int peerPort;

	@Option(names = "--entry-peer-port", defaultValue = "8082",
			description = "Port of the peer protocol on the entry daemons.")
	int entryPeerPort;

	@Option(names = "--peer-seeds", split = ",",
			description = "Addresses of peers in addition to the host list, as IP:port, separated by commas.")
	List<String> peerSeeds;

	@Option(names = "--host-list-url", description = "Base URL of the platform's host list.")
	URI hostListUrl;

	@Option(names = "--table-url", description = "Base URL of the table service.")
	URI tableUrl;

	@Option(names = "--object-url", description = "Base URL of the object service.")
	URI objectUrl;

	@Option(names = "--lease-duration", defaultValue = "PT9S",
			description = "Duration of a lease; another planner takes over when it expires without renewal.")
	Duration leaseDuration;

	@Option(names = "--round-period", defaultValue = "PT1S", description = "Time between two planning rounds.")
	Duration roundPeriod;

	@Option(names = "--head-period", defaultValue = "PT2S",
			description = "Time between two reads of the configuration head.")
	Duration headPeriod;

	@Option(names = "--stop-period", defaultValue = "PT2S",
			description = "Time between two reads of the planned stops.")
	Duration stopPeriod;

	@Option(names = "--demand-period", defaultValue = "PT5S", description = "Time between two reads of the demand.")
	Duration demandPeriod;

	@Option(names = "--suspect-after", defaultValue = "PT4S",
			description = "Time without a response after which an engine is suspected of having failed.")
	Duration suspectAfter;

	@Option(names = "--resend-after", defaultValue = "PT3S",
			description = "Time after which a command without visible effect is sent again.")
	Duration resendAfter;

	@Option(names = "--command-copy-bound", defaultValue = "PT60S",
			description = "Maximum time after the end of a send in which a duplicate of the command can arrive.")
	Duration commandCopyBound;

	@Option(names = "--host-gone-after", defaultValue = "PT60S",
			description = "Absence from the host list after which the processes of a host count as ended.")
	Duration hostGoneAfter;

	@Option(names = "--store-timeout", defaultValue = "PT2S",
			description = "Maximum wait for a platform service, or for a backend server in a control call.")
	Duration storeTimeout;

	@Option(names = "--connect-timeout", defaultValue = "PT0.5S",
			description = "Maximum time to establish a connection.")
	Duration connectTimeout;

	@Option(names = "--worker-threads", defaultValue = "16",
			description = "Number of threads that communicate with engines.")
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
