package org.celeryhill.entry;

import java.util.UUID;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.RequestId;

/**
 * Creates ids of requests and attempts with 122 random bits.
 */
final class RandomIds {

	private RandomIds() {
	}

	static RequestId request() {
		return RequestId.of("r-" + UUID.randomUUID());
	}

	static AttemptId attempt() {
		return AttemptId.of("a-" + UUID.randomUUID());
	}

}
