package org.celeryhill.state;

import java.util.Objects;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.HostId;

/**
 * Identifies a process that sends commands to engines. Immutable and thread-safe.
 *
 * @param host the host on which the process runs, not null
 * @param session the id of the process, a new one for each start, not null
 */
public record SenderId(HostId host, AttemptId session) {

	/** Creates an id. */
	public SenderId {
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(session, "session");
	}

}
