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
 * Checks that the settings page of the documentation matches the command-line flags of
 * the binaries. The environment variable {@code WRITE_SETTINGS_PAGE=true} makes the test
 * write the page first.
 */
class SettingsReferenceTests {

	private static final Path PAGE = Path.of("..", "docs", "operations", "settings.md");

	private static final String WRITE_PAGE_VARIABLE = "WRITE_SETTINGS_PAGE";

	private static String renderPage() {
		StringBuilder page = new StringBuilder(
				"""
						# Settings

						This page is generated from the code; the build fails if it is out of date. Each flag can be given as the
						environment variable next to it; a flag on the command line goes first. All settings of a process are checked
						when it starts, and all findings are printed together with exit status 2.
						""");
		appendCommand(page, "celeryhill-entry", new CommandLine(new EntryMain()));
		appendCommand(page, "celeryhill-planner", new CommandLine(new PlannerMain()));
		CommandLine operatorCommand = CeleryhillMain.create();
		operatorCommand.getSubcommands().forEach((name, command) -> appendCommand(page, "celeryhill " + name, command));
		appendCommand(page, "celeryhill-standin", new CommandLine(new StandinMain()));
		return page.toString();
	}

	private static void appendCommand(StringBuilder page, String title, CommandLine command) {
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
			String defaultCell = (option.defaultValue() != null) ? "`" + option.defaultValue() + "`" : "";
			page.append("| `")
				.append(option.longestName())
				.append("` | `")
				.append(EnvironmentDefaults.toVariableName(option.longestName()))
				.append("` | ")
				.append(defaultCell)
				.append(" | ")
				.append(String.join(" ", option.description()))
				.append(" |\n");
		}
	}

	/** Guards against a settings page that is out of date with the flags. */
	@Test
	void pageMatchesTheFlags() throws IOException {
		if (Boolean.parseBoolean(System.getenv(WRITE_PAGE_VARIABLE))) {
			Files.writeString(PAGE, renderPage());
		}
		assertThat(Files.readString(PAGE)).isEqualTo(renderPage());
	}

}
