package org.celeryhill.edge;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.EventLog;
import org.celeryhill.forward.ServerDirectory;
import org.celeryhill.platform.ServerEntryCodec;
import org.celeryhill.platform.StoreClient;
import org.celeryhill.platform.StoreFeed;

/**
 * Updates the directory of backend servers from their table in the store. An entry that
 * disappeared while the store was unavailable is kept until a running backend server
 * would have registered again.
 */
final class HostListFollower implements StoreFeed.Listener {

	private static final EventLog LOG = EventLog.of(HostListFollower.class);

	/**
	 * Time after the recovery of the store within which running backend servers register
	 * again.
	 */
	private static final long REREGISTRATION_MS = 2200;

	/**
	 * Silence of the store up to which no entry lapses, as an entry lapses after three
	 * missed heartbeats. A removal is then the work of a backend server that has left.
	 */
	private static final Duration MAX_HARMLESS_SILENCE = Duration.ofSeconds(1);

	private final Map<String, Future<?>> pendingRemovals = new HashMap<>();

	private final EventLoop loop;

	private final ServerDirectory directory;

	private long storeRegainedNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(REREGISTRATION_MS);

	HostListFollower(EventLoop loop, ServerDirectory directory) {
		this.loop = loop;
		this.directory = directory;
	}

	@Override
	public void onRowChanged(StoreClient.StoredRow row) {
		cancelRemoval(row.key());
		try {
			this.directory.put(ServerEntryCodec.decode(BackendServerId.of(row.key()), row.value()), row.version());
		}
		catch (IllegalArgumentException ex) {
			LOG.warn("server_entry_ignored", "key", row.key(), "version", row.version(), "cause", ex.getMessage());
		}
	}

	private void cancelRemoval(String key) {
		Future<?> removal = this.pendingRemovals.remove(key);
		if (removal != null) {
			removal.cancel(false);
		}
	}

	@Override
	public void onRowRemoved(String key, long version) {
		BackendServerId id = BackendServerId.of(key);
		long remainingMillis = REREGISTRATION_MS
				- TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.storeRegainedNanos);
		if (remainingMillis <= 0) {
			this.directory.remove(id, version);
			return;
		}
		LOG.info("server_doubtful", "server", key, "version", version, "kept_ms", remainingMillis);
		this.pendingRemovals.put(key, this.loop.schedule(() -> {
			this.pendingRemovals.remove(key);
			this.directory.remove(id, version);
		}, remainingMillis, TimeUnit.MILLISECONDS));
	}

	@Override
	public void onStoreRegained(Duration silence) {
		if (silence.compareTo(MAX_HARMLESS_SILENCE) > 0) {
			regained(0);
		}
	}

	// Records that another host regained the store the given time ago.
	void regained(long agoMillis) {
		long regainedAtNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(agoMillis);
		if (regainedAtNanos - this.storeRegainedNanos > 0) {
			this.storeRegainedNanos = regainedAtNanos;
		}
	}

	// Returns the time in milliseconds since the store was regained last.
	long millisSinceRegained() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.storeRegainedNanos);
	}

}
