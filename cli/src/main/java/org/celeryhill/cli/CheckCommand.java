package org.celeryhill.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import org.celeryhill.base.RevisionDocument;
import org.celeryhill.config.ParsedRevision;
import org.celeryhill.config.RevisionParser;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/**
 * Validates the files of a revision without contacting any service.
 */
@Command(name = "check", mixinStandardHelpOptions = true,
		description = "Checks templates and parameters and prints all findings. Changes nothing.")
final class CheckCommand extends AbstractCommand {

	/** YAML file, or directory with the YAML files, to validate. */
	@Parameters(paramLabel = "PATH", description = "Directory with YAML files, or one file.")
	private Path path;

	@Override
	ExitCode run() {
		RevisionDocument document = RevisionFiles.read(this.path);
		ParsedRevision parsed = RevisionParser.parse(document);
		printFindings(parsed.findings());
		if (!parsed.isValid()) {
			printError(parsed.findings().size() + " findings; nothing was changed");
			return ExitCode.INVALID;
		}
		print(List.of(Map.of("files", document.files().size(), "templates", parsed.revision().get().templates().size(),
				"organisations", parsed.revision().get().organisations().size(), "digest", document.digest())));
		return ExitCode.OK;
	}

}
