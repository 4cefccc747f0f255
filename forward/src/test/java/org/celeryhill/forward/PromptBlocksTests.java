package org.celeryhill.forward;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the blocks of shared prompts.
 */
class PromptBlocksTests {

	private static final RequestMetadata.PromptPart FIRST = new RequestMetadata.PromptPart(11, 341);

	private static final RequestMetadata.PromptPart SECOND = new RequestMetadata.PromptPart(22, 227);

	private static final RequestMetadata.PromptPart OWN = new RequestMetadata.PromptPart(33, 1800);

	// Guards against a prefix of one request that is not found for another one.
	@Test
	void sharesTheBlocksOfSharedParts() {
		List<Long> one = PromptBlocks.of(List.of(FIRST, SECOND, OWN));
		List<Long> other = PromptBlocks.of(List.of(FIRST, new RequestMetadata.PromptPart(44, 227), OWN));
		assertThat(one).hasSize(568 / 16).doesNotHaveDuplicates();
		assertThat(other.subList(0, 341 / 16)).isEqualTo(one.subList(0, 341 / 16));
		assertThat(other.get(34)).isNotEqualTo(one.get(34));
	}

	// Guards against equal parts behind different ones that count as cached.
	@Test
	void tellsEqualPartsBehindDifferentOnesApart() {
		List<Long> one = PromptBlocks.of(List.of(FIRST, SECOND, OWN));
		List<Long> swapped = PromptBlocks.of(List.of(SECOND, FIRST, OWN));
		assertThat(swapped).doesNotContainAnyElementsOf(one);
		assertThat(PromptBlocks.of(List.of(OWN))).isEmpty();
	}

}
