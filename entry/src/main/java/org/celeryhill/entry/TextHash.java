package org.celeryhill.entry;

/**
 * Incremental FNV-1a hash of delivered text. It detects that a repeated generation
 * differs from the delivered text; it is not used for security.
 */
final class TextHash {

	/** Hash of the empty text. */
	static final long EMPTY = 0xcbf29ce484222325L;

	/** Prime of the 64-bit FNV-1a hash. */
	private static final long FNV_PRIME = 0x100000001b3L;

	private TextHash() {
	}

	static long append(long hash, CharSequence text) {
		long result = hash;
		for (int i = 0; i < text.length(); i++) {
			char c = text.charAt(i);
			result = (result ^ (c & 0xff)) * FNV_PRIME;
			result = (result ^ (c >>> 8)) * FNV_PRIME;
		}
		return result;
	}

}
