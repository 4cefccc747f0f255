package org.celeryhill.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import org.celeryhill.base.RevisionDocument;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Gets the files of an accepted revision.
 */
@Command(name = "get", mixinStandardHelpOptions = true,
		description = "Gets the files of an accepted revision, by default the current one.")
final class GetCommand extends AbstractStoreCommand {

	/** Number of the revision. */
	@Parameters(arity = "0..1", paramLabel = "NUMBER", description = "Number of the revision.")
	private Long number;

	/** Directory for the files. */
	@Option(names = "--to", paramLabel = "DIRECTORY", description = "Writes the files there instead of printing them.")
	private Path directory;

	@Override
	ExitCode runWithStores() {
		RevisionReader.Result result = RevisionReader.read(stores().configuration(), this.number);
		if (result instanceof RevisionReader.Failed failed) {
			return unavailable(failed.failure());
		}
		if (result instanceof RevisionReader.Missing missing) {
			fail(missing.message());
			return ExitCode.REFUSED;
		}
		show(((RevisionReader.Document) result).document());
		return ExitCode.OK;
	}

	private void show(RevisionDocument document) {
		if (this.directory == null) {
			print(document.files()
				.entrySet()
				.stream()
				.map((file) -> Map.<String, Object>of("revision " + document.number(),
						file.getKey() + System.lineSeparator() + file.getValue()))
				.toList());
			return;
		}
		RevisionFiles.write(document, this.directory);
		print(List.of(Map.of("revision", document.number(), "files", document.files().size(), "directory",
				this.directory.toString())));
	}

}
