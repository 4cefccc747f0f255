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
 * Compares files with an accepted revision.
 */
@Command(name = "diff", mixinStandardHelpOptions = true,
		description = "Prints what would change if the files were applied. Changes nothing.")
final class DiffCommand extends AbstractStoreCommand {

	/** Directory or file with the templates and parameters. */
	@Parameters(paramLabel = "PATH", description = "Directory with YAML files, or one file.")
	private Path path;

	/** Number of the revision to compare with. */
	@Option(names = "--against", paramLabel = "NUMBER", description = "Revision to compare with; default: the current.")
	private Long number;

	@Override
	ExitCode runWithStores() {
		ParsedRevision after = RevisionParser.parse(RevisionFiles.read(this.path));
		printFindings(after.findings());
		if (!after.isValid()) {
			return ExitCode.INVALID;
		}
		RevisionReader.Result result = RevisionReader.read(stores().configuration(), this.number);
		if (result instanceof RevisionReader.Failed failed) {
			return unavailable(failed.failure());
		}
		if (result instanceof RevisionReader.Missing missing && this.number != null) {
			fail(missing.message());
			return ExitCode.REFUSED;
		}
		List<RevisionDiff.Change> changes = RevisionDiff.between(before(result), after.revision().get());
		print(changes.stream().map(DiffCommand::row).toList());
		return ExitCode.OK;
	}

	private static Revision before(RevisionReader.Result result) {
		if (!(result instanceof RevisionReader.Document found)) {
			return Revision.EMPTY;
		}
		RevisionDocument document = found.document();
		return RevisionParser.parse(document)
			.revision()
			.orElseThrow(() -> new IllegalArgumentException("revision " + document.number()
					+ " was accepted by another version and cannot be read by this one"));
	}

	private static Map<String, Object> row(RevisionDiff.Change change) {
		Map<String, Object> row = new LinkedHashMap<>();
		row.put("path", change.path());
		row.put("before", change.before());
		row.put("after", change.after());
		return row;
	}

}
