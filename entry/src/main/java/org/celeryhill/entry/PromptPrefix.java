package org.celeryhill.entry;

import java.util.ArrayList;
import java.util.List;

import org.celeryhill.base.ModelId;
import org.celeryhill.traffic.TrafficRequest;

/**
 * Computes the hashes of a prompt's prefixes, in complete blocks, that identify cached
 * prefixes in the cache events of engines. A token is estimated at
 * {@link GenerationJob#CHARACTERS_PER_TOKEN} characters.
 */
final class PromptPrefix {

	/** Number of characters of one block. */
	private static final int BLOCK_CHARACTERS = TrafficRequest.BLOCK_TOKENS * GenerationJob.CHARACTERS_PER_TOKEN;

	/** Maximum number of blocks that are hashed. */
	private static final int MAX_BLOCKS = 64;

	private PromptPrefix() {
	}

	/**
	 * Returns the hashes of all prefixes, shortest first, at most {@link #MAX_BLOCKS}.
	 * @param model the model, which does not affect the hashes, not null
	 * @param prompt the complete prompt, not null
	 * @return the hashes, never null
	 */
	static List<Long> hashes(ModelId model, String prompt) {
		int blocks = Math.min(MAX_BLOCKS, prompt.length() / BLOCK_CHARACTERS);
		List<Long> hashes = new ArrayList<>(blocks);
		long hash = TextHash.EMPTY;
		for (int i = 0; i < blocks; i++) {
			hash = TextHash.append(hash, prompt.substring(i * BLOCK_CHARACTERS, (i + 1) * BLOCK_CHARACTERS));
			hashes.add(hash);
		}
		return hashes;
	}

}
