package org.celeryhill.quota;

/**
 * Terms of holders and of their deputies. The term of a deputy follows that of its holder
 * and precedes that of the next one.
 */
final class QuotaTerm {

	/** Number of terms for each fencing token: the holder and its deputy. */
	static final long TERMS_PER_TOKEN = 2;

	private QuotaTerm() {
	}

	static long deputy(long term) {
		return term - term % TERMS_PER_TOKEN + 1;
	}

	static boolean isDeputy(long term) {
		return term % TERMS_PER_TOKEN == 1;
	}

	// Returns whether a term belongs to an earlier holder than another term. A host may
	// return from a deputy to its holder.
	static boolean isOlder(long term, long other) {
		return term / TERMS_PER_TOKEN < other / TERMS_PER_TOKEN;
	}

}
