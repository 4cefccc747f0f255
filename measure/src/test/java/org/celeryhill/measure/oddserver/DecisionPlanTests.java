package org.celeryhill.measure.oddserver;

import java.util.List;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests of the decisions of backend servers.
 */
class DecisionPlanTests {

	private static final int COUNT = 20_000;

	private static List<Decision> decide(int server, double oddShare) {
		DecisionPlan plan = new DecisionPlan(Profiles.of(10, 20, 5, Oddity.GARBAGE, Oddity.CLOSED), server, oddShare);
		return LongStream.range(0, COUNT).mapToObj(plan::decide).toList();
	}

	private static double percentOf(List<Decision> decisions, Outcome outcome) {
		return 100.0 * decisions.stream().filter((decision) -> decision.outcome() == outcome).count() / COUNT;
	}

	/** Guards against runs with the same seed that cannot be compared. */
	@Test
	void sameSeedGivesSameDecisions() {
		assertThat(decide(0, 10)).isEqualTo(decide(0, 10)).isNotEqualTo(decide(1, 10));
	}

	/** Guards against servers that fail, refuse or reset more or less than stated. */
	@Test
	void outcomesHaveStatedShares() {
		List<Decision> decisions = decide(0, 10);
		assertThat(percentOf(decisions, Outcome.FAILURE)).isCloseTo(10, within(1.0));
		assertThat(percentOf(decisions, Outcome.REFUSAL)).isCloseTo(20, within(1.0));
		assertThat(percentOf(decisions, Outcome.RESET)).isCloseTo(5, within(1.0));
		assertThat(percentOf(decisions, Outcome.SUCCESS)).isCloseTo(65, within(1.0));
	}

	/** Guards against odd answers in another share than stated, or of one kind only. */
	@Test
	void oddAnswersHaveStatedShareOfAnswers() {
		List<Oddity> oddities = decide(1, 40).stream().flatMap((decision) -> decision.oddity().stream()).toList();
		assertThat(100.0 * oddities.size() / COUNT).isCloseTo(40 * 0.95, within(1.0));
		assertThat(oddities.stream().filter((kind) -> kind == Oddity.CLOSED).count() / (double) oddities.size())
			.isCloseTo(0.5, within(0.03));
	}

	/** Guards against odd answers of a server that is stated to be sound. */
	@Test
	void soundServerNeverAnswersOddly() {
		assertThat(decide(2, 100)).allSatisfy((decision) -> assertThat(decision.oddity()).isEmpty());
	}

	/** Guards against shares of a sweep that differ in more than the odd answers. */
	@Test
	void higherShareOnlyAddsOddAnswers() {
		List<Decision> low = decide(0, 5);
		List<Decision> high = decide(0, 50);
		for (int i = 0; i < COUNT; i++) {
			assertThat(high.get(i).outcome()).isEqualTo(low.get(i).outcome());
			assertThat(high.get(i).work()).isEqualTo(low.get(i).work());
			if (low.get(i).oddity().isPresent()) {
				assertThat(high.get(i).oddity()).isEqualTo(low.get(i).oddity());
			}
		}
	}

}
