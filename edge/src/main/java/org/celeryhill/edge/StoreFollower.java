package org.celeryhill.edge;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import org.celeryhill.forward.ServerDirectory;
import org.celeryhill.platform.JsonHttpClient;
import org.celeryhill.platform.PlatformTables;
import org.celeryhill.platform.StoreClient;
import org.celeryhill.platform.StoreFeed;

/**
 * Follows the operator's table and the table of backend servers in the store. The holder
 * of the placement lease polls the store and passes on the rows in its responses to
 * heartbeats; the other hosts call the store only when the rows that they have, from a
 * holder or from the store, are no longer recent, and for a configuration that they were
 * told of. The load on the store thus does not grow with the number of hosts. Must be
 * used on the event loop.
 */
final class StoreFollower {

	/**
	 * Age of the rows from which on they are read from the store again. A change must be
	 * known 2 s after the store has accepted it.
	 */
	private static final long MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(1300);

	/**
	 * Time for which a call of the holder waits for changes. Together with a heartbeat
	 * period it stays below the maximum age.
	 */
	private static final Duration HOLDER_POLL_WAIT = Duration.ofMillis(600);

	private final PauseDetector pauseDetector = new PauseDetector();

	private final HostListFollower hosts;

	private final ConfigurationHolder configuration;

	private final StoreFeed operatorFeed;

	private final StoreFeed serverFeed;

	private RowRange encodedRange;

	private String encodedRows;

	private boolean hasHolderRows;

	private long holderRowsNanos;

	private boolean isHolder;

	private StoreFollower(HostListFollower hosts, ConfigurationHolder configuration, StoreFeed operatorFeed,
			StoreFeed serverFeed) {
		this.hosts = hosts;
		this.configuration = configuration;
		this.operatorFeed = operatorFeed;
		this.serverFeed = serverFeed;
		operatorFeed.setContinuation(this::isOperatorTableNeeded);
		serverFeed.setContinuation(() -> this.isHolder || !isRecent(serverFeed));
	}

	static StoreFollower create(StoreClient store, EventLoop loop, ConfigurationHolder configuration,
			ServerDirectory directory) {
		HostListFollower hosts = new HostListFollower(loop, directory);
		return new StoreFollower(hosts, configuration,
				StoreFeed.create(store, loop, PlatformTables.OPERATOR_TABLE, configuration),
				StoreFeed.create(store, loop, PlatformTables.BACKEND_SERVERS_TABLE, hosts));
	}

	// Polls the store, or stops polling while this host has recent rows.
	void tick(boolean isLeaseHolder) {
		this.isHolder = isLeaseHolder;
		this.pauseDetector.checkForPause();
		updateFeed(this.operatorFeed, isOperatorTableNeeded());
		updateFeed(this.serverFeed, this.isHolder || !isRecent(this.serverFeed));
	}

	private boolean isOperatorTableNeeded() {
		return this.isHolder || this.configuration.isBehind() || !isRecent(this.operatorFeed);
	}

	// Returns whether this host has recent rows of a table, from the holder or from the
	// store.
	private boolean isRecent(StoreFeed feed) {
		long now = System.nanoTime();
		boolean isFromHolder = this.hasHolderRows && now - this.holderRowsNanos < MAX_AGE_NANOS
				&& this.pauseDetector.isAfterPause(this.holderRowsNanos);
		boolean isFromStore = feed.isInitialized() && now - feed.lastResponseNanos() < MAX_AGE_NANOS
				&& this.pauseDetector.isAfterPause(feed.lastCallStartNanos());
		return isFromHolder || isFromStore;
	}

	private void updateFeed(StoreFeed feed, boolean isNeeded) {
		feed.setWait(this.isHolder ? HOLDER_POLL_WAIT : StoreFeed.DEFAULT_WAIT);
		if (isNeeded) {
			feed.resume();
		}
		else {
			feed.pause();
		}
	}

	// Returns whether the latest call for the operator's table failed.
	boolean isOperatorTableLost() {
		return this.operatorFeed.isStoreUnavailable();
	}

	// Returns whether this host has recent rows of the operator's table, from the store
	// or from a holder that has.
	boolean isOperatorTableCurrent() {
		this.pauseDetector.checkForPause();
		return isRecent(this.operatorFeed);
	}

	// Returns whether this host has read the operator's table.
	boolean isOperatorTableRead() {
		return this.operatorFeed.isInitialized();
	}

	// Returns whether this host has read the table of backend servers, from the store or
	// from the holder.
	boolean areServersKnown() {
		return this.serverFeed.isInitialized();
	}

	// Returns the version up to which this host knows the rows of backend servers.
	long serverVersion() {
		return this.serverFeed.version();
	}

	// Encodes the rows of backend servers that changed after a version, for the response
	// of the holder to a heartbeat. Empty if the rows of this host may be out of date.
	Optional<ObjectNode> encodeChangesAfter(long version) {
		long now = System.nanoTime();
		this.pauseDetector.checkForPause();
		long currentAsOfNanos = Math.min(this.operatorFeed.lastResponseNanos() - now,
				this.serverFeed.lastResponseNanos() - now) + now;
		boolean isUnaffectedByPause = this.pauseDetector.isAfterPause(this.operatorFeed.lastCallStartNanos())
				&& this.pauseDetector.isAfterPause(this.serverFeed.lastCallStartNanos());
		if (this.serverFeed.version() < 0 || !isUnaffectedByPause || now - currentAsOfNanos >= MAX_AGE_NANOS) {
			return Optional.empty();
		}
		boolean isFullTable = version < 0 || !this.serverFeed.hasAllChangesAfter(version);
		ObjectNode node = JsonHttpClient.MAPPER.createObjectNode();
		node.put("ageMs", TimeUnit.NANOSECONDS.toMillis(now - currentAsOfNanos));
		node.put("regainedMs", this.hosts.millisSinceRegained());
		node.put("isWhole", isFullTable);
		StoreClient.Rows changes = this.serverFeed.changesAfter(isFullTable ? -1 : version);
		node.put("version", changes.version());
		if (!changes.rows().isEmpty()) {
			node.put("rows", encodeRows(changes));
		}
		return Optional.of(node);
	}

	// Encodes rows, or returns the text for the same rows again. Most hosts know the same
	// version.
	private String encodeRows(StoreClient.Rows changes) {
		RowRange range = new RowRange(changes.rows().get(0).version(), changes.rows().size(), changes.version());
		if (!range.equals(this.encodedRange)) {
			this.encodedRange = range;
			this.encodedRows = RowArchive.encode(changes.rows());
		}
		return this.encodedRows;
	}

	// Applies the rows from the response of the holder to a heartbeat sent at a time.
	void applyHolderRows(JsonNode node, long sentNanos) {
		this.hosts.regained(node.path("regainedMs").asLong());
		this.serverFeed.apply(PeerMessages.decodeRows(node), node.path("isWhole").asBoolean());
		long rowsNanos = sentNanos - TimeUnit.MILLISECONDS.toNanos(node.path("ageMs").asLong());
		if (!this.hasHolderRows || rowsNanos - this.holderRowsNanos > 0) {
			this.hasHolderRows = true;
			this.holderRowsNanos = rowsNanos;
		}
	}

	/**
	 * Identifies the rows that changed between two versions.
	 *
	 * @param firstVersion the version of the earliest changed row
	 * @param count the number of changed rows
	 * @param version the version up to which the rows are known
	 */
	private record RowRange(long firstVersion, int count, long version) {
	}

}
