package org.celeryhill.edge;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

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

	private final Forwarder forwarder;

	private byte[] document = {};

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
		}
		else {
			LOG.info("configuration_ignored", "version", table.get().version(), "in_force", version(), "source",
					source);
		}
	}

	long version() {
		return this.forwarder.table().map(RoutingTable::version).orElse(0L);
	}

	byte[] document() {
		return this.document;
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
