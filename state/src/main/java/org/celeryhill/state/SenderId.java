package org.celeryhill.state;

import java.util.Objects;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.HostId;

/**
 * A process that sends commands to engines. Immutable and thread-safe.
 *
 * @param host its host, not null
 * @param session the id of the process, unique for each start, not null
 */
public record SenderId(HostId host, AttemptId session) {

	/** Creates an id. */
	public SenderId {
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(session, "session");
	}

}
