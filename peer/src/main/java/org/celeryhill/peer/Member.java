package org.celeryhill.peer;

import java.net.InetSocketAddress;
import java.util.Objects;

import org.celeryhill.base.DataCentre;
import org.celeryhill.base.HostId;
import org.celeryhill.base.Region;

/**
 * Process that takes part in the peer protocol. Immutable and thread-safe.
 *
 * @param host the id of the process, not null
 * @param address the address that its peer protocol listens on, not null
 * @param dataCentre its data centre, not null
 * @param region its region, not null
 * @param incarnation identifies this start of the process; differs after each start, not
 * null
 * @param isLeaving whether the process has announced that it is stopping
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
