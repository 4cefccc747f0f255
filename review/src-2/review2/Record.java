package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start. Thread-safe. */
final class Record {

	private final PrintWriter out;

	private final long start = System.nanoTime();

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
	}

	/** Returns the time in milliseconds since the start. */
	long now() {
		return (System.nanoTime() - this.start) / 1_000_000;
	}

	synchronized void log(String format, Object... values) {
		this.out.printf(Locale.ROOT, "%7d %s%n", now(), String.format(Locale.ROOT, format, values));
		this.out.flush();
	}

}
