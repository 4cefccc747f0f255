package org.celeryhill.measure.oddserver;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;

import org.celeryhill.base.Finding;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the settings of the load profile.
 */
class OddServersOptionsTests {

	private static OddServersOptions parse(String... arguments) {
		OddServersOptions options = new OddServersOptions();
		new CommandLine(options).parseArgs(arguments);
		return options;
	}

	private static List<String> flagsWithFindings(String... arguments) {
		return parse(arguments).validate().findings().stream().map(Finding::source).toList();
	}

	/** Guards against default settings that are refused or not those of the issue. */
	@Test
	void defaultsAreValid() {
		OddServersOptions options = parse();
		assertThat(options.validate().findings()).isEmpty();
		assertThat(options.shares()).containsExactly(0.0, 1.0, 2.0, 5.0, 10.0, 20.0, 50.0);
		LoadProfile profile = options.toProfile();
		assertThat(profile.servers()).isEqualTo(3);
		assertThat(profile.oddServers()).isEqualTo(3);
		assertThat(profile.callers()).isEqualTo(12);
	}

	/** Guards against a run with a setting out of its range. */
	@Test
	void eachSettingOutOfRangeHasFinding() {
		assertThat(flagsWithFindings("--seconds=0", "--warm-up-seconds=-1", "--rounds=0", "--servers=0", "--slots=0",
				"--callers=0", "--think-ms=-1", "--work-ms=-1", "--body-bytes=-1", "--fail=101", "--refuse=-1",
				"--reset=NaN", "--suspect-ms=0", "--slow-start-ms=0", "--share=200", "--sweep=0,101",
				"--kind=closed,other", "--table=/none/t.md", "--picture=/none/p.svg"))
			.contains("--seconds", "--warm-up-seconds", "--rounds", "--servers", "--slots", "--callers", "--think-ms",
					"--work-ms", "--body-bytes", "--fail", "--refuse", "--reset", "--suspect-ms", "--slow-start-ms",
					"--share", "--sweep", "--kind", "--table", "--picture");
	}

	/** Guards against more odd servers than servers, and shares above 100 together. */
	@Test
	void settingsAreCheckedAgainstEachOther() {
		assertThat(flagsWithFindings("--servers=3", "--odd-servers=4")).containsExactly("--odd-servers");
		assertThat(flagsWithFindings("--fail=50", "--refuse=50", "--reset=1")).containsExactly("--reset");
	}

	/**
	 * Guards against a command that starts in spite of findings or hides some of them.
	 */
	@Test
	void commandPrintsAllFindingsAndDoesNotStart() {
		StringWriter errors = new StringWriter();
		int status = new CommandLine(new OddServersCommand()).setErr(new PrintWriter(errors))
			.execute("--servers=0", "--kind=other");
		assertThat(status).isEqualTo(2);
		assertThat(errors.toString()).contains("--servers: error:").contains("--kind: error: other is not a kind");
	}

}
