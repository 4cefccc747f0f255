package org.celeryhill.entry;

import java.util.Map;
import java.util.stream.IntStream;

import org.celeryhill.http.EnvironmentDefaults;
import org.celeryhill.state.ServingSystem;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of settings and of the traffic split.
 */
class SettingsTests {

	/** Guards against a start that reports only the first invalid setting. */
	@Test
	void allFindingsAreReportedTogether() {
		EntrySettings settings = CommandLine.populateCommand(new EntrySettings(), "--region=r", "--api-port=70000",
				"--event-id-key=short", "--stop-period=PT9S", "--address=localhost");
		assertThat(settings.validate().findings()).extracting((finding) -> finding.source())
			.contains("--host-id", "--data-centre", "--api-port", "--event-id-key", "--stop-period", "--address",
					"--table-url", "--object-url", "--host-list-url")
			.doesNotContain("--region");
		assertThat(EntryMain.command().execute("--region=r")).isEqualTo(2);
	}

	/** Guards against environment variables that do not set their flags. */
	@Test
	void environmentVariablesSetFlags() {
		EntrySettings settings = new EntrySettings();
		CommandLine command = new CommandLine(CommandLine.Model.CommandSpec.forAnnotatedObject(settings));
		command.setDefaultValueProvider(new EnvironmentDefaults(Map.of("CELERYHILL_HOST_ID", "entry-9")));
		command.parseArgs("--api-port=1");
		assertThat(settings.hostId).isEqualTo("entry-9");
		assertThat(settings.maxTokens).isEqualTo(8192);
	}

	/**
	 * Guards against a split that misses its percentage or moves a key back to the legacy
	 * system when the percentage is raised.
	 */
	@Test
	void splitIsStableAndMeetsItsPercentage() {
		long moved = IntStream.range(0, 10_000).filter((i) -> isNew(i, 30)).count();
		assertThat(moved).isBetween(2_800L, 3_200L);
		assertThat(IntStream.range(0, 1_000).filter((i) -> isNew(i, 30) && !isNew(i, 60))).isEmpty();
		assertThat(IntStream.range(0, 1_000).filter((i) -> isNew(i, 0))).isEmpty();
		assertThat(IntStream.range(0, 1_000).filter((i) -> !isNew(i, 100))).isEmpty();
	}

	private static boolean isNew(int text, int percent) {
		return TrafficSplit.choose("key-" + text, percent) == ServingSystem.NEW;
	}

}
