package org.celeryhill.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

import org.celeryhill.traffic.RequestTraits;

/**
 * Computes the traits of a request from its content. Headers that differ between attempts
 * of the same request, such as its id and its deadline, are left out.
 */
final class RequestFingerprint {

	/** 2<sup>64</sup> divided by the golden ratio, as in Fibonacci hashing. */
	private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

	private RequestFingerprint() {
	}

	static RequestTraits traitsOf(IncomingRequest request, RequestMetadata metadata) {
		List<Long> shared = metadata.sharedPromptParts();
		List<Long> specific = new ArrayList<>(2);
		if (!metadata.prompt().isEmpty()) {
			specific.add(metadata.prompt().get(metadata.prompt().size() - 1).hash());
		}
		specific.add(hash(request, metadata));
		return new RequestTraits(shared, specific);
	}

	private static long hash(IncomingRequest request, RequestMetadata metadata) {
		CRC32 body = new CRC32();
		body.update(request.body().nioBuffer());
		long hash = mix(body.getValue(), request.body().readableBytes());
		hash = mix(hash, request.method().name().hashCode());
		hash = mix(hash, request.target().hashCode());
		hash = mix(hash, metadata.model().map((name) -> name.toId().value().hashCode()).orElse(0));
		for (RequestMetadata.PromptPart part : metadata.prompt()) {
			hash = mix(hash, part.hash());
		}
		return hash;
	}

	private static long mix(long hash, long value) {
		long mixed = (hash ^ value) * HASH_MULTIPLIER;
		return mixed ^ (mixed >>> 32);
	}

}
