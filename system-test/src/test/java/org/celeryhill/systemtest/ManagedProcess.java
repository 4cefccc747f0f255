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
 * A child process of the test that runs a main class from the test's class path.
 */
final class ManagedProcess implements AutoCloseable {

	/** Heap limit of each process; a test runs up to ten of them. */
	private static final String HEAP_OPTION = "-Xmx256m";

	/** Name of the process in messages and of its log file. */
	private final String name;

	/** Running process. */
	private final Process process;

	/** File with the standard output and error of the process. */
	private final Path logFile;

	private ManagedProcess(String name, Process process, Path logFile) {
		this.name = name;
		this.process = process;
		this.logFile = logFile;
	}

	static ManagedProcess start(String name, Path logDirectory, String mainClass, List<String> arguments) {
		List<String> command = new ArrayList<>(List.of(
				Path.of(System.getProperty("java.home"), "bin", "java").toString(), HEAP_OPTION, "-XX:+UseSerialGC",
				"-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"), mainClass));
		command.addAll(arguments);
		Path logFile = logDirectory.resolve(name + ".log");
		try {
			File file = logFile.toFile();
			Process process = new ProcessBuilder(command).redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(file))
				.start();
			return new ManagedProcess(name, process, logFile);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot start " + name, ex);
		}
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	/** Kills the process with {@code SIGKILL} and waits for its end. */
	void kill() {
		this.process.destroyForcibly();
		awaitExit(Duration.ofSeconds(10));
	}

	/**
	 * Requests a graceful shutdown with {@code SIGTERM} and waits for the end of the
	 * process.
	 * @param limit the maximum time to wait
	 * @return the exit status
	 * @throws IllegalStateException if the process does not end within the limit
	 */
	int terminate(Duration limit) {
		this.process.destroy();
		return awaitExit(limit);
	}

	private int awaitExit(Duration limit) {
		try {
			if (!this.process.waitFor(limit.toMillis(), TimeUnit.MILLISECONDS)) {
				throw new IllegalStateException(this.name + " did not end within " + limit + readLogTail());
			}
			return this.process.exitValue();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	/** Suspends the process with {@code SIGSTOP}. */
	void pause() {
		sendSignal("STOP");
	}

	/** Resumes a paused process with {@code SIGCONT}. */
	void resume() {
		sendSignal("CONT");
	}

	private void sendSignal(String signal) {
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
	 * Returns the last 15 lines of the log for failure messages.
	 * @return the lines, preceded by a line break, or a note if the log cannot be read
	 */
	String readLogTail() {
		try {
			List<String> lines = Files.readAllLines(this.logFile);
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
			awaitExit(Duration.ofSeconds(10));
		}
	}

}
