package org.celeryhill.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Edge daemons of a soak. Ends only processes that it started. Thread-safe.
 */
final class Fleet implements AutoCloseable {

	private static final long START_TIMEOUT_MILLIS = 60_000;

	private static final long READY_POLL_MILLIS = 50;

	private final List<EdgeProcess> daemons = new ArrayList<>();

	private final SoakContext context;

	Fleet(int count, DaemonCommand command, SoakContext context, Path folder, String store) throws IOException {
		this.context = context;
		for (int i = 0; i < count; i++) {
			this.daemons.add(new EdgeProcess("edge-" + i, DaemonAddresses.pick(), command, context, folder));
		}
		String seeds = this.daemons.get(0).addresses().controlText();
		for (EdgeProcess daemon : this.daemons) {
			daemon.writeSettings(seeds, store);
		}
	}

	int size() {
		return this.daemons.size();
	}

	/**
	 * Returns a daemon.
	 * @param index the index, which may go beyond the last daemon and starts again then
	 * @return the daemon, never null
	 */
	EdgeProcess daemon(int index) {
		return this.daemons.get(index % this.daemons.size());
	}

	List<EdgeProcess> daemons() {
		return List.copyOf(this.daemons);
	}

	/**
	 * Starts all daemons and waits until they are ready.
	 * @throws IllegalStateException if one does not become ready
	 */
	void start() {
		this.daemons.forEach(EdgeProcess::start);
		double end = this.context.clock().seconds() + START_TIMEOUT_MILLIS / 1e3;
		for (EdgeProcess daemon : this.daemons) {
			while (!daemon.isReady()) {
				if (this.context.clock().seconds() > end) {
					throw new IllegalStateException(daemon.name() + " does not become ready, see " + daemon.log());
				}
				Threads.sleep(READY_POLL_MILLIS);
			}
		}
	}

	@Override
	public void close() {
		this.daemons.forEach(EdgeProcess::close);
	}

}
