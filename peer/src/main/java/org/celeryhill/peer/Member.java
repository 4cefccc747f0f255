package org.celeryhill.peer;

import java.net.InetSocketAddress;
import java.util.Objects;

import org.celeryhill.base.DataCentre;
import org.celeryhill.base.HostId;
import org.celeryhill.base.Region;

/**
 * One process of the system. Immutable and thread-safe.
 *
 * @param host the process, not null
 * @param address where its peer protocol listens, not null
 * @param dataCentre its data centre, not null
 * @param region its region, not null
 * @param incarnation changes each time the process starts, not null
 * @param isLeaving whether it has said that it stops
 */
public record Member(HostId host, InetSocketAddress address, DataCentre dataCentre, Region region, String incarnation,
		boolean isLeaving) {

	/** Creates a member. */
	public Member {
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(dataCentre, "dataCentre");
		Objects.requireNonNull(region, "region");
		Objects.requireNonNull(incarnation, "incarnation");
	}

}
