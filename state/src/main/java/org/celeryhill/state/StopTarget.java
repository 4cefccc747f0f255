package org.celeryhill.state;

import java.util.Locale;
import java.util.Objects;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.HostId;

/**
 * The host, backend server or data centre that a planned stop applies to. Immutable and
 * thread-safe.
 *
 * @param kind the kind of the target, not null
 * @param id the id of the host, backend server or data centre, never blank
 */
public record StopTarget(Kind kind, String id) {

	/**
	 * Creates a target.
	 * @throws IllegalArgumentException if the id is blank
	 */
	public StopTarget {
		Objects.requireNonNull(kind, "kind");
		if (id.isBlank()) {
			throw new IllegalArgumentException("id of a stop target must not be blank");
		}
	}

	/**
	 * Returns a target for the entry daemon of a host.
	 * @param host the host, not null
	 * @return the target, never null
	 */
	public static StopTarget entryHost(HostId host) {
		return new StopTarget(Kind.ENTRY_HOST, host.value());
	}

	/**
	 * Returns a target for the planner daemon of a host.
	 * @param host the host, not null
	 * @return the target, never null
	 */
	public static StopTarget planner(HostId host) {
		return new StopTarget(Kind.PLANNER, host.value());
	}

	/**
	 * Returns a target for a backend server.
	 * @param backend the backend server, not null
	 * @return the target, never null
	 */
	public static StopTarget backendServer(BackendServerId backend) {
		return new StopTarget(Kind.BACKEND_SERVER, backend.value());
	}

	/**
	 * Returns a target for all hosts and backend servers of a data centre.
	 * @param dataCentre the data centre, not null
	 * @return the target, never null
	 */
	public static StopTarget dataCentre(DataCentre dataCentre) {
		return new StopTarget(Kind.DATA_CENTRE, dataCentre.value());
	}

	/**
	 * Returns the row key of the planned stop of this target.
	 * @return the key, such as {@code backend_server/engine-3}, never null
	 */
	public String toKey() {
		return this.kind.name().toLowerCase(Locale.ROOT) + "/" + this.id;
	}

	/**
	 * Returns whether a stop of this target applies to a backend server.
	 * @param backend the backend server, not null
	 * @param dataCentre the data centre of the backend server, not null
	 * @return true if the target is the backend server or its data centre
	 */
	public boolean covers(BackendServerId backend, DataCentre dataCentre) {
		return equals(backendServer(backend)) || equals(dataCentre(dataCentre));
	}

	/** Kind of a target. */
	public enum Kind {

		/** The entry daemon of a host. */
		ENTRY_HOST,

		/** The planner daemon of a host. */
		PLANNER,

		/** A backend server. */
		BACKEND_SERVER,

		/** A data centre. */
		DATA_CENTRE

	}

}
