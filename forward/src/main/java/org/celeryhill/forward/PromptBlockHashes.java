package org.celeryhill.forward;

import java.util.ArrayList;
import java.util.List;

import org.celeryhill.traffic.TrafficRequest;

/**
 * Computes the block hashes under which the prefix index finds the cached prefix of a
 * prompt. Each hash covers all parts up to its block. The last part of a prompt is
 * specific to the request and is excluded.
 */
final class PromptBlockHashes {

	/** 2<sup>64</sup> divided by the golden ratio, as in Fibonacci hashing. */
	private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

	/** Blocks of a million tokens, more than any engine keeps of one prompt. */
	private static final int MAX_BLOCKS = 1_000_000 / TrafficRequest.BLOCK_TOKENS;

	private PromptBlockHashes() {
	}

	static List<Long> of(List<RequestMetadata.PromptPart> parts) {
		List<Long> hashes = new ArrayList<>();
		long prefixHash = 0;
		long tokens = 0;
		for (int i = 0; i + 1 < parts.size(); i++) {
			prefixHash = (prefixHash ^ parts.get(i).hash()) * HASH_MULTIPLIER;
			tokens += parts.get(i).tokens();
			while ((hashes.size() + 1) * TrafficRequest.BLOCK_TOKENS <= tokens && hashes.size() < MAX_BLOCKS) {
				hashes.add(prefixHash ^ (hashes.size() * HASH_MULTIPLIER));
			}
		}
		return hashes;
	}

}
