package org.celeryhill.port;

import java.net.URI;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.Region;
import org.celeryhill.base.ServiceId;

/**
 * The platform's list of live and leaving hosts. It is updated with a delay: a host that
 * is gone may still be listed, and a host that is leaving may be listed as live.
 * Implementations are thread-safe.
 */
public interface HostList {

	/**
	 * Reads the list.
	 * @return the entries, or empty if the list could not be read
	 */
	Optional<List<Entry>> read();

	/**
	 * Entry of one host.
	 *
	 * @param id the backend server or entry host, not null
	 * @param kind the kind of process on the host, not null
	 * @param service the service the host belongs to, not null
	 * @param address the IP address and port that it listens on, not null
	 * @param dataCentre the data centre of the host, not null
	 * @param region the region of the data centre, not null
	 * @param leaving whether the host is marked as leaving
	 */
	record Entry(BackendServerId id, Kind kind, ServiceId service, URI address, DataCentre dataCentre, Region region,
			boolean leaving) {

		/** Creates an entry. */
		public Entry {
			Objects.requireNonNull(id, "id");
			Objects.requireNonNull(kind, "kind");
			Objects.requireNonNull(service, "service");
			Objects.requireNonNull(address, "address");
			Objects.requireNonNull(dataCentre, "dataCentre");
			Objects.requireNonNull(region, "region");
		}

	}

	/** Kind of process on a host. */
	enum Kind {

		/** A model engine. */
		ENGINE,

		/** A plain service. */
		PLAIN_SERVICE,

		/** The legacy serving system. */
		LEGACY,

		/** An entry host of this system. */
		ENTRY

	}

}
