package org.celeryhill.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Edge daemon as a separate process that is signalled and restarted. Remembers when it
 * was disturbed. Thread-safe.
 */
final class EdgeProcess implements AutoCloseable {

	/**
	 * Exit status of a virtual machine that gets SIGTERM before the daemon handles it.
	 */
	private static final int UNHANDLED_SIGTERM = 143;

	private static final int READY_TIMEOUT_MILLIS = 1000;

	private final String name;

	private final DaemonAddresses addresses;

	private final DaemonCommand command;

	private final SoakContext context;

	private final Path settings;

	private final Path log;

	private final List<Long> disruptions = new ArrayList<>();

	private Process process;

	private long restartMillis;

	private long startNanos;

	private boolean isStopping;

	private boolean isKilled;

	private boolean isPaused;

	private boolean isClosed;

	EdgeProcess(String name, DaemonAddresses addresses, DaemonCommand command, SoakContext context, Path folder) {
		this.name = name;
		this.addresses = addresses;
		this.command = command;
		this.context = context;
		this.settings = folder.resolve(name + ".settings");
		this.log = folder.resolve(name + ".log");
	}

	String name() {
		return this.name;
	}

	DaemonAddresses addresses() {
		return this.addresses;
	}

	Path log() {
		return this.log;
	}

	void writeSettings(String seeds, String store) throws IOException {
		Files.writeString(this.settings, this.command.settings(this.addresses, this.name, seeds, store));
	}

	synchronized void start() {
		if (this.isClosed) {
			return;
		}
		this.isStopping = false;
		this.isKilled = false;
		this.isPaused = false;
		try {
			Process started = this.command.start(this.settings, this.log);
			this.process = started;
			this.startNanos = this.context.clock().nanos();
			started.onExit().thenAccept(this::handleExit);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot start " + this.name, ex);
		}
	}

	private synchronized void handleExit(Process ended) {
		if (this.isClosed) {
			return;
		}
		int status = ended.exitValue();
		boolean isRegular = this.isKilled || (this.isStopping && (status == 0 || status == UNHANDLED_SIGTERM));
		if (!isRegular) {
			addDisruption();
			this.context.violations()
				.add(Promise.ENDED, this.name + " ended with status " + status + ", stopping: " + this.isStopping);
		}
		this.context.clock().after(this.restartMillis, this::start);
	}

	/**
	 * Sends SIGTERM, and SIGKILL when the grace is over. Another SIGTERM is sent if the
	 * daemon is stopping already.
	 * @param millis the time from the end of the process to its restart, in milliseconds
	 */
	synchronized void stop(long millis) {
		if (!this.process.isAlive()) {
			return;
		}
		this.restartMillis = millis;
		this.isStopping = true;
		this.process.destroy();
		Process stopped = this.process;
		this.context.clock().after(Bounds.GRACE_MILLIS, () -> endOverdue(stopped));
	}

	private synchronized void endOverdue(Process stopped) {
		if (stopped.isAlive() && stopped == this.process) {
			kill(this.restartMillis);
		}
	}

	/**
	 * Sends SIGKILL.
	 * @param millis the time from the end of the process to its restart, in milliseconds
	 */
	synchronized void kill(long millis) {
		if (!this.process.isAlive()) {
			return;
		}
		this.restartMillis = millis;
		this.isKilled = true;
		addDisruption();
		this.process.destroyForcibly();
	}

	/**
	 * Ends the process without a record of it.
	 */
	synchronized void killHidden() {
		this.process.destroyForcibly();
	}

	synchronized void pause() {
		if (this.process.isAlive() && !this.isPaused) {
			this.isPaused = true;
			addDisruption();
			signal("STOP");
		}
	}

	synchronized void resume() {
		if (this.process.isAlive() && this.isPaused) {
			this.isPaused = false;
			addDisruption();
			signal("CONT");
		}
	}

	private void signal(String signal) {
		try {
			new ProcessBuilder("kill", "-" + signal, String.valueOf(this.process.pid())).start().waitFor();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	private void addDisruption() {
		this.disruptions.add(this.context.clock().nanos());
	}

	/**
	 * Returns whether the process was killed or paused, or ended by itself, so that its
	 * cuts are excused.
	 * @param fromNanos the begin of the time, which the contact time precedes
	 * @param toNanos the end of the time
	 * @return whether it was
	 */
	synchronized boolean wasDisturbed(long fromNanos, long toNanos) {
		long from = fromNanos - TimeUnit.MILLISECONDS.toNanos(Bounds.CONTACT_MILLIS);
		return this.isPaused || this.disruptions.stream().anyMatch((at) -> at >= from && at <= toNanos);
	}

	synchronized boolean isStopping() {
		return this.isStopping;
	}

	/**
	 * Returns whether the daemon is in a planned stop, or has started again since a time.
	 * @param sinceNanos the time
	 * @return whether it is or has
	 */
	synchronized boolean isStoppedSince(long sinceNanos) {
		return this.isStopping || this.startNanos > sinceNanos;
	}

	/**
	 * Returns the id of the process.
	 * @return the id, or -1 if it does not run
	 */
	synchronized long pid() {
		return this.process.isAlive() ? this.process.pid() : -1;
	}

	boolean isReady() {
		try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), this.addresses.ready())) {
			socket.setSoTimeout(READY_TIMEOUT_MILLIS);
			socket.getOutputStream()
				.write(("GET " + Wire.READY_PATH + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
			HttpHead head = new HttpReader(socket.getInputStream()).readHead();
			return head != null && head.status() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	@Override
	public synchronized void close() {
		this.isClosed = true;
		if (this.process != null) {
			this.process.destroyForcibly();
			try {
				this.process.waitFor(10, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

}
