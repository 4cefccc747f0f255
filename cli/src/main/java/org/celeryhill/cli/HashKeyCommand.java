package org.celeryhill.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import org.apache.commons.codec.digest.DigestUtils;
import picocli.CommandLine.Command;

/**
 * Prints the SHA-256 digest of an API key. The configuration stores only this digest, not
 * the key.
 */
@Command(name = "hash-key", mixinStandardHelpOptions = true,
		description = "Reads an API key from standard input and prints the digest for 'key-hashes'.")
final class HashKeyCommand extends AbstractCommand {

	@Override
	ExitCode run() {
		String key = readLine();
		if (key == null || key.isBlank()) {
			printError("no API key on standard input; try: printf %s \"$KEY\" | celeryhill hash-key");
			return ExitCode.INVALID;
		}
		print(List.of(Map.of("key-hash", DigestUtils.sha256Hex(key.strip()))));
		return ExitCode.OK;
	}

	private static String readLine() {
		try {
			return new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)).readLine();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot read standard input", ex);
		}
	}

}
