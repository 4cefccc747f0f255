package org.celeryhill.edge;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.celeryhill.base.EventLog;
import org.celeryhill.base.Finding;
import org.celeryhill.forward.Forwarder;
import org.celeryhill.forward.RoutingTable;
import org.celeryhill.platform.ConfigurationCodec;
import org.celeryhill.platform.PlatformTables;
import org.celeryhill.platform.StoreClient;
import org.celeryhill.platform.StoreFeed;

/**
 * Applies the newest configuration to the forwarder and keeps its encoded form. A
 * configuration comes from the store or from another host. Must be used on the event
 * loop.
 */
final class ConfigurationHolder implements StoreFeed.Listener {

	private static final EventLog LOG = EventLog.of(ConfigurationHolder.class);

	/**
	 * Time for which the store may take to return a newer configuration before another
	 * host is asked for it.
	 */
	private static final long MAX_READ_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	private final Forwarder forwarder;

	private byte[] document = {};

	private String compressedDocument = "";

	private long announcedVersion;

	private long announcedNanos;

	ConfigurationHolder(Forwarder forwarder) {
		this.forwarder = forwarder;
	}

	// Applies a document if it is valid and newer than the active configuration.
	void applyIfNewer(byte[] candidate, String source) {
		List<Finding> findings = new ArrayList<>();
		Optional<RoutingTable> table = ConfigurationCodec.decode(candidate, findings);
		findings.forEach((finding) -> LOG.warn("configuration_finding", "source", source, "finding", finding));
		if (table.isEmpty()) {
			return;
		}
		if (this.forwarder.apply(table.get())) {
			this.document = candidate;
			this.compressedDocument = "";
		}
		else {
			LOG.info("configuration_ignored", "version", table.get().version(), "in_force", version(), "source",
					source);
		}
	}

	// Records the version that another host applies.
	void recordAnnounced(long version) {
		if (version > this.announcedVersion) {
			this.announcedVersion = version;
			this.announcedNanos = System.nanoTime();
		}
	}

	// Returns whether another host applies a newer configuration, which has to be read
	// from
	// the store.
	boolean isBehind() {
		return this.announcedVersion > version();
	}

	// Returns whether another host has to send its configuration, as this one cannot read
	// it from the store.
	boolean isDocumentNeeded(boolean isStoreLost) {
		if (isStoreLost && (version() == 0 || isBehind())) {
			return true;
		}
		return isBehind() && System.nanoTime() - this.announcedNanos > MAX_READ_NANOS;
	}

	long version() {
		return this.forwarder.table().map(RoutingTable::version).orElse(0L);
	}

	// Returns the active configuration for another host, see Compression.
	String compressedDocument() {
		if (this.compressedDocument.isEmpty()) {
			this.compressedDocument = Compression.compress(this.document);
		}
		return this.compressedDocument;
	}

	@Override
	public void onRowChanged(StoreClient.StoredRow row) {
		if (row.key().equals(PlatformTables.CONFIGURATION)) {
			applyIfNewer(row.value(), "store");
		}
	}

	@Override
	public void onRowRemoved(String key, long version) {
		LOG.warn("operator_row_removed", "key", key, "version", version);
	}

}
