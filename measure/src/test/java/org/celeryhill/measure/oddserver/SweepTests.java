package org.celeryhill.measure.oddserver;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the figures of several rounds.
 */
class SweepTests {

	// Returns figures of one second with a number of own answers.
	private static ShareFigures figures(long own, long violations) {
		Map<Answer, Long> answers = new EnumMap<>(Answer.class);
		Arrays.stream(Answer.values()).forEach((answer) -> answers.put(answer, 0L));
		answers.put(Answer.OWN, own);
		HostFigures host = new HostFigures(Map.of(), Map.of(), 0, 0, 0, 0, 0);
		return new ShareFigures(0, 1, own, answers, 0, 0, host, 0, 0, 0, 0, 0, 0, 0, Map.of("FOREIGN", violations), 0);
	}

	/** Guards against ratios of runs that were not made in the same round. */
	@Test
	void relativeWorkIsMedianOfPairs() {
		Sweep sweep = new Sweep(List.of(List.of(figures(100, 0), figures(50, 0)),
				List.of(figures(10, 0), figures(9, 0)), List.of(figures(1000, 0), figures(100, 0))));
		assertThat(sweep.relativeOwn(1)).isEqualTo(0.5);
		assertThat(sweep.median(1, ShareFigures::ownPerSecond)).isEqualTo(50);
		assertThat(OddServersCommand.exitStatus(sweep)).isZero();
	}

	/** Guards against a violation that the other rounds hide. */
	@Test
	void violationOfOneRoundIsSeen() {
		Sweep sweep = new Sweep(List.of(List.of(figures(1, 0)), List.of(figures(1, 3)), List.of(figures(1, 0))));
		assertThat(OddServersCommand.exitStatus(sweep)).isEqualTo(1);
		assertThat(SweepTable.format(sweep)).contains("| violations: FOREIGN | 3 |");
	}

}
