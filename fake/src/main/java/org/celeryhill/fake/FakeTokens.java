package org.celeryhill.fake;

import java.util.ArrayList;
import java.util.List;

import org.celeryhill.port.GenerateRequest;

/**
 * Deterministic output of the fake engines. The token at an offset depends only on model,
 * prompt, seed and offset, so that another engine continues an output with the same text.
 * Thread-safe.
 */
public final class FakeTokens {

	/** Number of prompt characters that count as one token. */
	public static final int CHARS_PER_TOKEN = 4;

	/** Number of tokens in one block of the prompt prefix cache. */
	public static final int BLOCK_TOKENS = 16;

	/** Fewest tokens of an output that its request does not limit. */
	public static final int MIN_NATURAL_TOKENS = 256;

	/** Most tokens of an output that its request does not limit. */
	public static final int MAX_NATURAL_TOKENS = 4096;

	/** Hash of the empty text, the offset basis of 64-bit FNV-1a. */
	private static final long EMPTY = 0xcbf29ce484222325L;

	/** Prime of 64-bit FNV-1a. */
	private static final long FNV_PRIME = 0x100000001b3L;

	/** Words of the generated texts, indexed by 5 hash bits. */
	private static final String[] WORDS = { "beater", "roll", "furnish", "stock", "vat", "felt", "couch", "press",
			"dryer", "reel", "pulp", "fibre", "size", "starch", "filler", "bleach", "screen", "refiner", "plate", "bar",
			"load", "power", "speed", "gap", "shift", "grade", "sheet", "basis", "weight", "tear", "burst", "drain" };

	private FakeTokens() {
	}

	/**
	 * Returns the seed from which the output of a request is generated.
	 * @param request the request, not null; its continuation and attempt are ignored
	 * @return the seed
	 */
	public static long outputSeed(GenerateRequest request) {
		long hash = appendHash(appendHash(EMPTY, request.model().value()), request.prompt());
		return mixBits(hash ^ mixBits(request.seed()));
	}

	/**
	 * Returns the text of a token.
	 * @param outputSeed the value of {@link #outputSeed}
	 * @param offset the offset in the complete output
	 * @return the text, never null, never empty
	 */
	public static String tokenText(long outputSeed, int offset) {
		int word = (int) (mixBits(outputSeed + offset) >>> 59);
		return (offset == 0) ? WORDS[word] : " " + WORDS[word];
	}

	/**
	 * Returns the number of tokens of an output that its request does not limit.
	 * @param outputSeed the value of {@link #outputSeed}
	 * @return a number from {@link #MIN_NATURAL_TOKENS} to {@link #MAX_NATURAL_TOKENS}
	 */
	public static int naturalLength(long outputSeed) {
		long range = MAX_NATURAL_TOKENS - MIN_NATURAL_TOKENS + 1L;
		return MIN_NATURAL_TOKENS + (int) Long.remainderUnsigned(mixBits(~outputSeed), range);
	}

	/**
	 * Returns the complete output of a request, for checks of test results.
	 * @param request the request, not null
	 * @return the text from offset 0 on, never null
	 */
	public static String fullOutput(GenerateRequest request) {
		long outputSeed = outputSeed(request);
		int length = Math.min(request.maxTokens(), naturalLength(outputSeed));
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < length; i++) {
			text.append(tokenText(outputSeed, i));
		}
		return text.toString();
	}

	/**
	 * Returns the number of tokens of a prompt, rounded up.
	 * @param prompt the prompt, not null
	 * @return the number of tokens, at least 1
	 */
	public static int promptTokens(String prompt) {
		return Math.max(1, (prompt.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN);
	}

	/**
	 * Returns the hashes of all prefixes of a prompt that consist of whole blocks.
	 * @param prompt the prompt, not null
	 * @return the hashes, shortest prefix first, never null
	 */
	public static List<Long> prefixHashes(String prompt) {
		int blockChars = BLOCK_TOKENS * CHARS_PER_TOKEN;
		List<Long> hashes = new ArrayList<>(prompt.length() / blockChars);
		long hash = EMPTY;
		for (int end = blockChars; end <= prompt.length(); end += blockChars) {
			hash = appendHash(hash, prompt.substring(end - blockChars, end));
			hashes.add(hash);
		}
		return hashes;
	}

	private static long appendHash(long start, String text) {
		long hash = start;
		for (int i = 0; i < text.length(); i++) {
			char c = text.charAt(i);
			hash = (hash ^ (c & 0xff)) * FNV_PRIME;
			hash = (hash ^ (c >>> 8)) * FNV_PRIME;
		}
		return hash;
	}

	/**
	 * Mixes the bits of a value with the finalizer of SplitMix64.
	 * @param value the value
	 * @return a value each bit of which depends on all bits of the argument
	 */
	private static long mixBits(long value) {
		long z = value + 0x9e3779b97f4a7c15L;
		z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
		z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
		return z ^ (z >>> 31);
	}

}
