package org.celeryhill.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;

import org.celeryhill.base.DataCentre;
import org.celeryhill.base.HostId;
import org.celeryhill.base.Region;

/**
 * Identity and timing of a process in the gossip protocol. Immutable and thread-safe.
 *
 * @param host the id of the process, not null; two processes on one machine need
 * different ids
 * @param address the resolved address that its peer protocol listens on, not null
 * @param dataCentre its data centre, not null
 * @param region its region, not null
 * @param generation the number of this start of the process, positive; raised during
 * operation if a peer knows a higher one
 * @param roundPeriod the time between gossip rounds, not null, positive
 * @param suspectAfter the time without a heartbeat after which a neighbour is no longer
 * considered alive, not null, longer than a round
 * @param deadAfter the time without a heartbeat after which a neighbour is declared dead
 * to all processes, not null, longer than {@code suspectAfter}
 */
public record PeerSettings(HostId host, InetSocketAddress address, DataCentre dataCentre, Region region,
		long generation, Duration roundPeriod, Duration suspectAfter, Duration deadAfter) {

	/** Default time between gossip rounds. */
	public static final Duration DEFAULT_ROUND_PERIOD = Duration.ofSeconds(1);

	/**
	 * Default time until a process is suspected. A heartbeat reaches the 22 processes of
	 * a data centre within about 5 rounds; the rest is a margin for 10% message loss.
	 */
	public static final Duration DEFAULT_SUSPECT_AFTER = Duration.ofSeconds(15);

	/** Default time until a process is declared dead. */
	public static final Duration DEFAULT_DEAD_AFTER = Duration.ofSeconds(35);

	/**
	 * Creates settings.
	 * @throws IllegalArgumentException if the generation or the round is not positive, or
	 * the times are not in increasing order
	 */
	public PeerSettings {
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(dataCentre, "dataCentre");
		Objects.requireNonNull(region, "region");
		if (generation <= 0 || roundPeriod.isNegative() || roundPeriod.isZero()) {
			throw new IllegalArgumentException("generation and roundPeriod must be positive");
		}
		if (roundPeriod.compareTo(suspectAfter) >= 0 || suspectAfter.compareTo(deadAfter) >= 0) {
			throw new IllegalArgumentException(
					"roundPeriod must be shorter than suspectAfter, and suspectAfter shorter than deadAfter");
		}
	}

	/**
	 * Returns settings with the default times.
	 * @param host the id of the process, not null
	 * @param address the resolved address that its peer protocol listens on, not null
	 * @param dataCentre its data centre, not null
	 * @param region its region, not null
	 * @param generation the number of this start, positive, such as the start time in
	 * milliseconds
	 * @return the settings, never null
	 */
	public static PeerSettings of(HostId host, InetSocketAddress address, DataCentre dataCentre, Region region,
			long generation) {
		return new PeerSettings(host, address, dataCentre, region, generation, DEFAULT_ROUND_PERIOD,
				DEFAULT_SUSPECT_AFTER, DEFAULT_DEAD_AFTER);
	}

	/**
	 * Returns a copy of the settings with another port.
	 * @param port the port, from 0 to 65535
	 * @return the copy, never null
	 */
	public PeerSettings withPort(int port) {
		return new PeerSettings(this.host, new InetSocketAddress(this.address.getAddress(), port), this.dataCentre,
				this.region, this.generation, this.roundPeriod, this.suspectAfter, this.deadAfter);
	}

}
