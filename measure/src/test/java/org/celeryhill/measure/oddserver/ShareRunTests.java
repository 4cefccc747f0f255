package org.celeryhill.measure.oddserver;

import java.io.StringReader;
import java.util.List;
import java.util.stream.LongStream;

import javax.xml.parsers.DocumentBuilderFactory;

import org.junit.jupiter.api.Test;
import org.xml.sax.InputSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of a short run of the whole load profile. The kinds of odd answers are those
 * after which no bytes of another response are left.
 */
class ShareRunTests {

	private static final double ODD_SHARE = 20;

	private static final LoadProfile PROFILE = Profiles.of(10, 10, 3, Oddity.TRUNCATED, Oddity.UNFRAMED, Oddity.EARLY,
			Oddity.CLOSED);

	/**
	 * Guards against servers that do something else than their plan, figures that miss
	 * requests, and false violations.
	 */
	@Test
	void serversKeepToPlanAndNoViolationIsFound() throws Exception {
		ShareRun run = new ShareRun(PROFILE, ODD_SHARE, WireFormat.load());
		ShareFigures figures = run.run();
		assertThat(figures.isViolated()).as(figures.violations().toString()).isFalse();
		assertThat(figures.answers().values().stream().mapToLong(Long::longValue).sum()).isEqualTo(figures.requests());
		assertThat(figures.answers().get(Answer.OWN)).isPositive();
		for (int i = 0; i < PROFILE.servers(); i++) {
			checkPlan(i, run.servers().get(i).counts());
		}
		checkOutput(figures);
	}

	// Answers of attempts that the host gives up at the end of the run are not sent.
	private static void checkPlan(int server, OddBackendServer.Counts counts) {
		DecisionPlan plan = new DecisionPlan(PROFILE, server, ODD_SHARE);
		List<Decision> decisions = LongStream.range(0, counts.requests()).mapToObj(plan::decide).toList();
		for (Outcome outcome : Outcome.values()) {
			assertThat(counts.requests(outcome))
				.isEqualTo(decisions.stream().filter((decision) -> decision.outcome() == outcome).count());
		}
		long oddCount = decisions.stream().filter((decision) -> decision.oddity().isPresent()).count();
		assertThat(counts.oddAnswers()).isBetween(oddCount - PROFILE.callers(), oddCount);
	}

	private static void checkOutput(ShareFigures figures) throws Exception {
		Sweep sweep = new Sweep(List.of(List.of(figures, figures)));
		String[] rows = SweepTable.format(sweep).split("\n");
		assertThat(rows).allSatisfy((row) -> assertThat(row.split("\\|")).as(row).hasSize(4));
		assertThat(rows).anySatisfy((row) -> assertThat(row).contains("relative").endsWith("| 1.000 | 1.000 |"));
		String picture = SweepPicture.draw(sweep);
		DocumentBuilderFactory.newInstance().newDocumentBuilder().parse(new InputSource(new StringReader(picture)));
	}

}
