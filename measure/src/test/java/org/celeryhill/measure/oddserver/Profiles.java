package org.celeryhill.measure.oddserver;

import java.time.Duration;
import java.util.List;

/**
 * Load profiles for tests.
 */
final class Profiles {

	private Profiles() {
	}

	// Returns a profile of three servers of which two answer oddly.
	static LoadProfile of(double failShare, double refuseShare, double resetShare, Oddity... kinds) {
		return new LoadProfile(7, Duration.ofSeconds(2), 3, 2, 4, 6, Duration.ofMillis(2), Duration.ofMillis(1), 64,
				List.of(kinds), failShare, refuseShare, resetShare, Duration.ofMillis(50), Duration.ofMillis(50));
	}

}
