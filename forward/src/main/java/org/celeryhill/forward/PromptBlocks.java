package org.celeryhill.forward;

import java.util.ArrayList;
import java.util.List;

import org.celeryhill.traffic.TrafficRequest;

/**
 * Turns the shared parts of a prompt into the hashes of blocks that the prefix index
 * knows. The last part belongs to the request itself and is left out.
 */
final class PromptBlocks {

	private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

	private PromptBlocks() {
	}

	static List<Long> of(List<RequestMetadata.PromptPart> parts) {
		List<Long> blocks = new ArrayList<>();
		long chain = 0;
		int tokens = 0;
		for (int i = 0; i + 1 < parts.size(); i++) {
			chain = (chain ^ parts.get(i).hash()) * MULTIPLIER;
			tokens += parts.get(i).tokens();
			while ((blocks.size() + 1) * TrafficRequest.BLOCK_TOKENS <= tokens) {
				blocks.add(chain ^ (blocks.size() * MULTIPLIER));
			}
		}
		return blocks;
	}

}
