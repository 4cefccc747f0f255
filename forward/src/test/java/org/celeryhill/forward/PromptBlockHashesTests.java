package org.celeryhill.forward;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PromptBlockHashes}.
 */
class PromptBlockHashesTests {

	private static final RequestMetadata.PromptPart SHARED_PART = new RequestMetadata.PromptPart(11, 341);

	private static final RequestMetadata.PromptPart OTHER_SHARED_PART = new RequestMetadata.PromptPart(22, 227);

	private static final RequestMetadata.PromptPart REQUEST_PART = new RequestMetadata.PromptPart(33, 1800);

	// Guards against different hashes for the same prefix, which would miss the cache.
	@Test
	void hashesSharedPrefixEqually() {
		List<Long> one = PromptBlockHashes.of(List.of(SHARED_PART, OTHER_SHARED_PART, REQUEST_PART));
		List<Long> other = PromptBlockHashes
			.of(List.of(SHARED_PART, new RequestMetadata.PromptPart(44, 227), REQUEST_PART));
		assertThat(one).hasSize(568 / 16).doesNotHaveDuplicates();
		assertThat(other.subList(0, 341 / 16)).isEqualTo(one.subList(0, 341 / 16));
		assertThat(other.get(34)).isNotEqualTo(one.get(34));
	}

	// Guards against equal parts after different prefixes that are treated as cached.
	@Test
	void hashesEqualPartsAfterDifferentPrefixesDifferently() {
		List<Long> one = PromptBlockHashes.of(List.of(SHARED_PART, OTHER_SHARED_PART, REQUEST_PART));
		List<Long> swapped = PromptBlockHashes.of(List.of(OTHER_SHARED_PART, SHARED_PART, REQUEST_PART));
		assertThat(swapped).doesNotContainAnyElementsOf(one);
		assertThat(PromptBlockHashes.of(List.of(REQUEST_PART))).isEmpty();
	}

	// Guards against a request that uses up the memory of this host, because it announces
	// a prompt longer than any engine can hold.
	@Test
	void boundsHashesOfHugePrompt() {
		List<RequestMetadata.PromptPart> parts = new ArrayList<>();
		for (int i = 0; i < 100; i++) {
			parts.add(new RequestMetadata.PromptPart(i, 99_999_999));
		}
		assertThat(PromptBlockHashes.of(parts).size()).isLessThanOrEqualTo(65_536);
	}

}
