package org.celeryhill.forward;

import java.util.Objects;
import java.util.Optional;

import org.celeryhill.base.ServiceId;

/**
 * What the configuration says of one service. Immutable and thread-safe.
 *
 * @param id the service, not null
 * @param maxConnections the connections that one backend server accepts from all hosts
 * @param engine the profile of its engines; empty for a plain service
 */
public record ServiceProfile(ServiceId id, int maxConnections, Optional<EngineProfile> engine) {

	/**
	 * Checks the arguments.
	 */
	public ServiceProfile {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(engine, "engine");
	}

}
