package org.celeryhill.fake;

import java.util.ArrayList;
import java.util.List;

import org.celeryhill.port.GenerateRequest;

/**
 * Deterministic text of generated answers. The token at an offset depends only on model,
 * prompt, seed and offset, so that another engine continues an answer with the same text.
 * Thread-safe.
 */
public final class FakeTokens {

	/** Characters that count as one token of a prompt. */
	public static final int CHARS_PER_TOKEN = 4;

	/** Tokens in one block of the prompt prefix cache. */
	public static final int BLOCK_TOKENS = 16;

	/** Fewest tokens of an answer that ends by itself. */
	public static final int MIN_NATURAL_TOKENS = 256;

	/** Most tokens of an answer that ends by itself. */
	public static final int MAX_NATURAL_TOKENS = 4096;

	/** Hash of the empty text, the offset basis of 64-bit FNV-1a. */
	private static final long EMPTY = 0xcbf29ce484222325L;

	/** Prime of 64-bit FNV-1a. */
	private static final long PRIME = 0x100000001b3L;

	/** Words that answers are made of. */
	private static final String[] WORDS = { "beater", "roll", "furnish", "stock", "vat", "felt", "couch", "press",
			"dryer", "reel", "pulp", "fibre", "size", "starch", "filler", "bleach", "screen", "refiner", "plate", "bar",
			"load", "power", "speed", "gap", "shift", "grade", "sheet", "basis", "weight", "tear", "burst", "drain" };

	private FakeTokens() {
	}

	/**
	 * Returns the value that the texts of an answer are drawn from.
	 * @param request the request, not null; continuation and attempt do not count
	 * @return the value
	 */
	public static long outputSeed(GenerateRequest request) {
		long hash = append(append(EMPTY, request.model().value()), request.prompt());
		return mix(hash ^ mix(request.seed()));
	}

	/**
	 * Returns the text of a token.
	 * @param basis the value from {@link #outputSeed}
	 * @param offset the offset in the complete answer
	 * @return the text, never null, never empty
	 */
	public static String tokenText(long basis, int offset) {
		int word = (int) (mix(basis + offset) >>> 59);
		return (offset == 0) ? WORDS[word] : " " + WORDS[word];
	}

	/**
	 * Returns how many tokens an answer has if its request does not limit it.
	 * @param basis the value from {@link #outputSeed}
	 * @return a number from {@link #MIN_NATURAL_TOKENS} to {@link #MAX_NATURAL_TOKENS}
	 */
	public static int naturalLength(long basis) {
		long range = MAX_NATURAL_TOKENS - MIN_NATURAL_TOKENS + 1L;
		return MIN_NATURAL_TOKENS + (int) Long.remainderUnsigned(mix(~basis), range);
	}

	/**
	 * Returns the text of a complete answer, for oracles.
	 * @param request the request, not null
	 * @return the text from offset 0 on, never null
	 */
	public static String fullOutput(GenerateRequest request) {
		long basis = outputSeed(request);
		int length = Math.min(request.maxTokens(), naturalLength(basis));
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < length; i++) {
			text.append(tokenText(basis, i));
		}
		return text.toString();
	}

	/**
	 * Returns the number of tokens of a prompt.
	 * @param prompt the prompt, not null
	 * @return the number, at least 1
	 */
	public static int promptTokens(String prompt) {
		return Math.max(1, (prompt.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN);
	}

	/**
	 * Returns the hashes of the prefixes of a prompt in whole blocks.
	 * @param prompt the prompt, not null
	 * @return the hashes, shortest prefix first, never null
	 */
	public static List<Long> prefixHashes(String prompt) {
		int blockChars = BLOCK_TOKENS * CHARS_PER_TOKEN;
		List<Long> hashes = new ArrayList<>(prompt.length() / blockChars);
		long hash = EMPTY;
		for (int end = blockChars; end <= prompt.length(); end += blockChars) {
			hash = append(hash, prompt.substring(end - blockChars, end));
			hashes.add(hash);
		}
		return hashes;
	}

	private static long append(long start, String text) {
		long hash = start;
		for (int i = 0; i < text.length(); i++) {
			char c = text.charAt(i);
			hash = (hash ^ (c & 0xff)) * PRIME;
			hash = (hash ^ (c >>> 8)) * PRIME;
		}
		return hash;
	}

	/**
	 * Spreads the bits of a value (finalizer of SplitMix64).
	 * @param value the value
	 * @return a value whose bits all depend on all bits of the argument
	 */
	private static long mix(long value) {
		long z = value + 0x9e3779b97f4a7c15L;
		z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
		z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
		return z ^ (z >>> 31);
	}

}
