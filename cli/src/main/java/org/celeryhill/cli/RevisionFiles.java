package org.celeryhill.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.celeryhill.base.RevisionDocument;

/**
 * Reads the files of a revision from a directory and writes them to one. Stateless and
 * thread-safe.
 */
final class RevisionFiles {

	/** File name suffixes of the YAML files of a revision. */
	private static final List<String> SUFFIXES = List.of(".yaml", ".yml");

	private RevisionFiles() {
	}

	/**
	 * Reads the YAML files of a directory, without its subdirectories, or a single file
	 * of any name.
	 * @param path the directory or file
	 * @return the document with the files by name and number 0 because it is not accepted
	 * yet
	 * @throws UncheckedIOException if a file cannot be read
	 * @throws IllegalArgumentException if there is no file to read
	 */
	static RevisionDocument read(Path path) {
		Map<String, String> files = new TreeMap<>();
		try {
			if (Files.isRegularFile(path)) {
				files.put(path.getFileName().toString(), Files.readString(path));
			}
			else if (Files.isDirectory(path)) {
				try (Stream<Path> entries = Files.list(path)) {
					for (Path entry : entries.filter(RevisionFiles::isYaml).toList()) {
						files.put(entry.getFileName().toString(), Files.readString(entry));
					}
				}
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot read " + path + ": " + ex.getMessage(), ex);
		}
		if (files.isEmpty()) {
			throw new IllegalArgumentException(path + " is not a YAML file or a directory with YAML files");
		}
		return new RevisionDocument(0, files);
	}

	private static boolean isYaml(Path path) {
		String name = path.getFileName().toString();
		return Files.isRegularFile(path) && SUFFIXES.stream().anyMatch(name::endsWith);
	}

	/**
	 * Writes the files of a revision to a directory and overwrites files of the same
	 * name.
	 * @param document the files by name
	 * @param directory the directory, created if absent
	 * @throws UncheckedIOException if a file cannot be written
	 * @throws IllegalArgumentException if a file name leads outside the directory
	 */
	static void write(RevisionDocument document, Path directory) {
		try {
			Files.createDirectories(directory);
			for (Map.Entry<String, String> file : document.files().entrySet()) {
				Path target = directory.resolve(file.getKey()).normalize();
				if (!target.getParent().equals(directory.normalize())) {
					throw new IllegalArgumentException("file name '" + file.getKey() + "' is outside " + directory);
				}
				Files.writeString(target, file.getValue());
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot write to " + directory + ": " + ex.getMessage(), ex);
		}
	}

}
