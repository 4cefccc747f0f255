package org.celeryhill.cli;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.celeryhill.base.RevisionDocument;
import org.celeryhill.config.ParsedRevision;
import org.celeryhill.config.Revision;
import org.celeryhill.config.RevisionDiff;
import org.celeryhill.config.RevisionParser;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Compares configuration files with an accepted revision and prints the differences.
 */
@Command(name = "diff", mixinStandardHelpOptions = true,
		description = "Prints what would change if the files were applied. Changes nothing.")
final class DiffCommand extends AbstractStoreCommand {

	/** YAML file, or directory with the YAML files, to compare. */
	@Parameters(paramLabel = "PATH", description = "Directory with YAML files, or one file.")
	private Path path;

	/** Number of the accepted revision to compare with, null for the current one. */
	@Option(names = "--against", paramLabel = "NUMBER",
			description = "Revision to compare with, by default the current one.")
	private Long number;

	@Override
	ExitCode runWithStores() {
		ParsedRevision after = RevisionParser.parse(RevisionFiles.read(this.path));
		printFindings(after.findings());
		if (!after.isValid()) {
			return ExitCode.INVALID;
		}
		RevisionReader.Result result = RevisionReader.read(stores().configurationStore(), this.number);
		if (result instanceof RevisionReader.Unavailable failed) {
			return reportUnavailable(failed.failure());
		}
		if (result instanceof RevisionReader.NotFound notFound && this.number != null) {
			printError(notFound.message());
			return ExitCode.REFUSED;
		}
		List<RevisionDiff.Change> changes = RevisionDiff.between(acceptedRevision(result), after.revision().get());
		print(changes.stream().map(DiffCommand::toRow).toList());
		return ExitCode.OK;
	}

	private static Revision acceptedRevision(RevisionReader.Result result) {
		if (!(result instanceof RevisionReader.Found found)) {
			return Revision.EMPTY;
		}
		RevisionDocument document = found.document();
		return RevisionParser.parse(document)
			.revision()
			.orElseThrow(() -> new IllegalArgumentException("revision " + document.number()
					+ " was accepted by another version of celeryhill and cannot be parsed by this one"));
	}

	private static Map<String, Object> toRow(RevisionDiff.Change change) {
		Map<String, Object> row = new LinkedHashMap<>();
		row.put("path", change.path());
		row.put("before", change.before());
		row.put("after", change.after());
		return row;
	}

}
