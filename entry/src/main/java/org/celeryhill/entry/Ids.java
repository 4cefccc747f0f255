package org.celeryhill.entry;

import java.util.UUID;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.RequestId;

/**
 * Creates random identifiers of 122 bits.
 */
final class Ids {

	private Ids() {
	}

	static RequestId request() {
		return RequestId.of("r-" + UUID.randomUUID());
	}

	static AttemptId attempt() {
		return AttemptId.of("a-" + UUID.randomUUID());
	}

}
