package org.celeryhill.entry;

/**
 * FNV-1a hash of delivered text that can be continued from its value. It detects that a
 * repeated generation differs from the delivered one; it is not used for security.
 */
final class TextHash {

	/** Hash of the empty text. */
	static final long EMPTY = 0xcbf29ce484222325L;

	/** Prime of the 64-bit FNV hash. */
	private static final long PRIME = 0x100000001b3L;

	private TextHash() {
	}

	static long append(long hash, CharSequence text) {
		long result = hash;
		for (int i = 0; i < text.length(); i++) {
			char c = text.charAt(i);
			result = (result ^ (c & 0xff)) * PRIME;
			result = (result ^ (c >>> 8)) * PRIME;
		}
		return result;
	}

}
