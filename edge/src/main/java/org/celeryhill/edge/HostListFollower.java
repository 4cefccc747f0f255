package org.celeryhill.edge;

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
 * Keeps the directory of backend servers up to date with the host list. Entries that went
 * while the store was away are kept until a living backend server would have been listed
 * again.
 */
final class HostListFollower implements StoreFeed.Listener {

	private static final EventLog LOG = EventLog.of(HostListFollower.class);

	/** After the store's return, living backend servers are listed within this time. */
	private static final long RELIST_MS = 2200;

	private final Map<String, Future<?>> doubtful = new HashMap<>();

	private final EventLoop loop;

	private final ServerDirectory directory;

	private long regainedNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(RELIST_MS);

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
		Future<?> removal = this.doubtful.remove(key);
		if (removal != null) {
			removal.cancel(false);
		}
	}

	@Override
	public void onRowRemoved(String key, long version) {
		BackendServerId id = BackendServerId.of(key);
		long left = RELIST_MS - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.regainedNanos);
		if (left <= 0) {
			this.directory.remove(id, version);
			return;
		}
		LOG.info("server_doubtful", "server", key, "version", version, "kept_ms", left);
		this.doubtful.put(key, this.loop.schedule(() -> {
			this.doubtful.remove(key);
			this.directory.remove(id, version);
		}, left, TimeUnit.MILLISECONDS));
	}

	@Override
	public void onStoreRegained() {
		regained(0);
	}

	// Notes that another host reached the store again some time ago.
	void regained(long agoMillis) {
		long then = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(agoMillis);
		if (then - this.regainedNanos > 0) {
			this.regainedNanos = then;
		}
	}

	// Returns the time since the store could be reached again.
	long millisSinceRegained() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.regainedNanos);
	}

}
