package org.celeryhill.fake;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FaultInjectorTests {

	/** Guards against random faults that a run with the same seed does not reproduce. */
	@Test
	void sameSeedGivesSameFaults() {
		assertThat(drawFaults(7)).isEqualTo(drawFaults(7)).isNotEqualTo(drawFaults(8));
	}

	/**
	 * Guards against scripted faults that affect another target, apply twice, or apply
	 * after a down state.
	 */
	@Test
	void scriptedFaultsPrecedeDownStateAndApplyOnce() {
		FaultInjector faults = FaultInjector.ofSeed(1);
		faults.setDown("table", true);
		faults.script("table", Fault.NONE, Fault.SLOW);
		assertThat(faults.nextFault("object").fault()).isEqualTo(Fault.NONE);
		assertThat(Stream.generate(() -> faults.nextFault("table").fault()).limit(3)).containsExactly(Fault.NONE,
				Fault.SLOW, Fault.DOWN);
	}

	private static List<FaultInjector.InjectedFault> drawFaults(long seed) {
		FaultInjector faults = FaultInjector.ofSeed(seed);
		faults.setProbability("table", Fault.LOST_ANSWER, 0.3);
		faults.setProbability("table", Fault.DELAYED_EFFECT, 0.3);
		return Stream.generate(() -> faults.nextFault("table")).limit(50).toList();
	}

}
