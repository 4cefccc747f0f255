package org.celeryhill.forward;

import java.util.Objects;
import java.util.Optional;

import org.celeryhill.base.ServiceId;

/**
 * Configuration of one service. Immutable and thread-safe.
 *
 * @param id the service, not null
 * @param maxConnections the number of connections that one backend server accepts from
 * all hosts together
 * @param engine the profile of its engines, not null; empty for a plain service without
 * models
 */
public record ServiceProfile(ServiceId id, int maxConnections, Optional<EngineProfile> engine) {

	/**
	 * Creates a profile.
	 */
	public ServiceProfile {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(engine, "engine");
	}

}
