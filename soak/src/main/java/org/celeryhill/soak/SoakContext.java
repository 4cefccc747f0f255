package org.celeryhill.soak;

import java.util.Objects;

/**
 * What all stand-ins of a soak share. Immutable.
 *
 * @param seed the seed of the run
 * @param ledger the requests, not null
 * @param clock the clock, not null
 * @param violations the violations, not null
 * @param planted the planted fault, not null
 */
record SoakContext(long seed, RequestLedger ledger, SoakClock clock, ViolationLog violations, PlantedFault planted) {

	SoakContext {
		Objects.requireNonNull(ledger, "ledger");
		Objects.requireNonNull(clock, "clock");
		Objects.requireNonNull(violations, "violations");
		Objects.requireNonNull(planted, "planted");
	}

}
