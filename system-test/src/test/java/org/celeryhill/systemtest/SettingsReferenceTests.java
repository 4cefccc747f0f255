package org.celeryhill.systemtest;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.celeryhill.cli.CeleryhillMain;
import org.celeryhill.entry.EntryMain;
import org.celeryhill.http.EnvironmentDefaults;
import org.celeryhill.planner.PlannerMain;
import org.celeryhill.standin.StandinMain;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;
import picocli.CommandLine.Model.OptionSpec;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Compares the settings page with the flags of the binaries. Run with the environment
 * variable {@code WRITE_SETTINGS_PAGE=true} to write the page.
 */
class SettingsReferenceTests {

	private static final Path PAGE = Path.of("..", "docs", "operations", "settings.md");

	private static final String WRITE = "WRITE_SETTINGS_PAGE";

	private static String page() {
		StringBuilder page = new StringBuilder(
				"""
						# Settings

						This page is generated from the code; the build fails if it is out of date. Each flag can be given as the
						environment variable next to it; a flag on the command line goes first. All settings of a process are checked
						when it starts, and all findings are printed together with exit status 2.
						""");
		append(page, "celeryhill-entry", new CommandLine(new EntryMain()));
		append(page, "celeryhill-planner", new CommandLine(new PlannerMain()));
		CommandLine operator = CeleryhillMain.create();
		operator.getSubcommands().forEach((name, command) -> append(page, "celeryhill " + name, command));
		append(page, "celeryhill-standin", new CommandLine(new StandinMain()));
		return page.toString();
	}

	private static void append(StringBuilder page, String title, CommandLine command) {
		List<OptionSpec> options = command.getCommandSpec()
			.options()
			.stream()
			.filter((option) -> !option.usageHelp() && !option.versionHelp() && !option.hidden())
			.toList();
		page.append("\n## ").append(title).append("\n\n");
		for (String line : command.getCommandSpec().usageMessage().description()) {
			page.append(line).append("\n\n");
		}
		if (options.isEmpty()) {
			return;
		}
		page.append("| flag | variable | default | meaning |\n| --- | --- | --- | --- |\n");
		for (OptionSpec option : options) {
			String fallback = (option.defaultValue() != null) ? "`" + option.defaultValue() + "`" : "";
			page.append("| `")
				.append(option.longestName())
				.append("` | `")
				.append(EnvironmentDefaults.toVariableName(option.longestName()))
				.append("` | ")
				.append(fallback)
				.append(" | ")
				.append(String.join(" ", option.description()))
				.append(" |\n");
		}
	}

	/** Guards against a settings page that does not match the binaries. */
	@Test
	void pageMatchesTheFlags() throws IOException {
		if (Boolean.parseBoolean(System.getenv(WRITE))) {
			Files.writeString(PAGE, page());
		}
		assertThat(Files.readString(PAGE)).isEqualTo(page());
	}

}
