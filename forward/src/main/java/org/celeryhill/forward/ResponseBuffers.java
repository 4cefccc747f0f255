package org.celeryhill.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Counts the bytes of responses that are kept until they are complete, and selects the
 * response to give up when they need too much memory. Must be used on the event loop.
 */
final class ResponseBuffers {

	/** Size from which on a response is taken for one without end. */
	private static final long MAX_RESPONSE_BYTES = 16 << 20;

	/** Size of all incomplete responses, a fifth of the heap of the smallest hosts. */
	private static final long MAX_TOTAL_BYTES = 32 << 20;

	private final Map<ForwardAttempt, Long> sizes = new HashMap<>();

	private long totalBytes;

	// Adds bytes of an attempt's response. Returns the attempt with the largest response
	// if
	// it has to be given up.
	Optional<ForwardAttempt> add(ForwardAttempt attempt, int bytes) {
		this.totalBytes += bytes;
		long size = this.sizes.merge(attempt, (long) bytes, Long::sum);
		if (size > MAX_RESPONSE_BYTES) {
			return Optional.of(attempt);
		}
		return (this.totalBytes > MAX_TOTAL_BYTES)
				? this.sizes.entrySet().stream().max(Map.Entry.comparingByValue()).map(Map.Entry::getKey)
				: Optional.empty();
	}

	// Removes the response of an attempt that ended.
	void remove(ForwardAttempt attempt) {
		Long size = this.sizes.remove(attempt);
		this.totalBytes -= (size != null) ? size : 0;
	}

}
