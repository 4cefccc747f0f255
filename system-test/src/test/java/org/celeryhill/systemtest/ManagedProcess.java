package org.celeryhill.systemtest;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A process of the system under test, started from the classes of this build.
 */
final class ManagedProcess implements AutoCloseable {

	/** Heap of each process; a test runs up to ten of them. */
	private static final String HEAP = "-Xmx256m";

	/** Name for messages and for the log file. */
	private final String name;

	/** Running process. */
	private final Process process;

	/** Standard output and error of the process. */
	private final Path log;

	private ManagedProcess(String name, Process process, Path log) {
		this.name = name;
		this.process = process;
		this.log = log;
	}

	static ManagedProcess start(String name, Path directory, String mainClass, List<String> arguments) {
		List<String> command = new ArrayList<>(
				List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), HEAP, "-XX:+UseSerialGC",
						"-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"), mainClass));
		command.addAll(arguments);
		Path log = directory.resolve(name + ".log");
		try {
			File file = log.toFile();
			Process process = new ProcessBuilder(command).redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(file))
				.start();
			return new ManagedProcess(name, process, log);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot start " + name, ex);
		}
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	/** Ends the process without a chance to react. */
	void kill() {
		this.process.destroyForcibly();
		await(Duration.ofSeconds(10));
	}

	/**
	 * Asks the process to shut down and waits for its end.
	 * @param limit the longest wait
	 * @return the exit status
	 * @throws IllegalStateException if it does not end in time
	 */
	int terminate(Duration limit) {
		this.process.destroy();
		return await(limit);
	}

	private int await(Duration limit) {
		try {
			if (!this.process.waitFor(limit.toMillis(), TimeUnit.MILLISECONDS)) {
				throw new IllegalStateException(this.name + " did not end within " + limit + tail());
			}
			return this.process.exitValue();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	/** Stops the process from running without ending it. */
	void pause() {
		signal("STOP");
	}

	/** Lets a paused process run again. */
	void resume() {
		signal("CONT");
	}

	private void signal(String signal) {
		try {
			int status = new ProcessBuilder("kill", "-" + signal, String.valueOf(this.process.pid())).start().waitFor();
			if (status != 0) {
				throw new IllegalStateException("signal " + signal + " to " + this.name + " failed: " + status);
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Returns the last lines of the process's output for failure messages.
	 * @return the lines
	 */
	String tail() {
		try {
			List<String> lines = Files.readAllLines(this.log);
			return System.lineSeparator()
					+ String.join(System.lineSeparator(), lines.subList(Math.max(0, lines.size() - 15), lines.size()));
		}
		catch (IOException ex) {
			return " (no log: " + ex.getMessage() + ")";
		}
	}

	@Override
	public void close() {
		if (this.process.isAlive()) {
			this.process.destroyForcibly();
			await(Duration.ofSeconds(10));
		}
	}

}
