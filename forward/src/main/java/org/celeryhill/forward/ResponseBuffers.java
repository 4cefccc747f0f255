package org.celeryhill.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Counts the bytes of responses that are kept in memory: those that are not complete yet,
 * and those that wait for slow callers. Selects the response to keep no longer when they
 * need too much. Must be used on the event loop.
 */
final class ResponseBuffers {

	/** Size from which on a response is taken for one without end. */
	private static final long MAX_RESPONSE_BYTES = 16 << 20;

	/** Size of all responses in memory, a fifth of the heap of the smallest hosts. */
	private static final long MAX_TOTAL_BYTES = 32 << 20;

	private final Map<ForwardAttempt, Long> sizes = new HashMap<>();

	private long totalBytes;

	// Adds bytes of an attempt's response. Returns the attempt with the largest
	// incomplete response if there are too many bytes.
	Optional<ForwardAttempt> add(ForwardAttempt attempt, int bytes) {
		this.totalBytes += bytes;
		long size = this.sizes.merge(attempt, (long) bytes, Long::sum);
		if (isTooLong(size)) {
			return Optional.of(attempt);
		}
		return (this.totalBytes > MAX_TOTAL_BYTES)
				? this.sizes.entrySet().stream().max(Map.Entry.comparingByValue()).map(Map.Entry::getKey)
				: Optional.empty();
	}

	static boolean isTooLong(long responseBytes) {
		return responseBytes > MAX_RESPONSE_BYTES;
	}

	// Removes the response of an attempt that ended or is kept no longer.
	void remove(ForwardAttempt attempt) {
		Long size = this.sizes.remove(attempt);
		this.totalBytes -= (size != null) ? size : 0;
	}

	// Adds the size of a complete response that waits for its caller, or subtracts it.
	void addUnwritten(int bytes) {
		this.totalBytes += bytes;
	}

	long totalBytes() {
		return this.totalBytes;
	}

}
