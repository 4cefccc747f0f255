package org.celeryhill.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import org.celeryhill.base.RevisionDocument;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Prints the files of an accepted revision or writes them to a directory.
 */
@Command(name = "get", mixinStandardHelpOptions = true,
		description = "Gets the files of an accepted revision, by default the current one.")
final class GetCommand extends AbstractStoreCommand {

	/** Number of the revision, null for the current one. */
	@Parameters(arity = "0..1", paramLabel = "NUMBER",
			description = "Number of the revision, by default the current one.")
	private Long number;

	/** Directory that the files are written to, null to print them. */
	@Option(names = "--to", paramLabel = "DIRECTORY",
			description = "Directory to write the files to; without it they are printed.")
	private Path directory;

	@Override
	ExitCode runWithStores() {
		RevisionReader.Result result = RevisionReader.read(stores().configurationStore(), this.number);
		if (result instanceof RevisionReader.Unavailable failed) {
			return reportUnavailable(failed.failure());
		}
		if (result instanceof RevisionReader.NotFound notFound) {
			printError(notFound.message());
			return ExitCode.REFUSED;
		}
		printOrWrite(((RevisionReader.Found) result).document());
		return ExitCode.OK;
	}

	private void printOrWrite(RevisionDocument document) {
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
