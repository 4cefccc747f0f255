package org.celeryhill.cli;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

import org.celeryhill.state.PlannedStop;

/**
 * Planned stops as rows of output. Stateless and thread-safe.
 */
final class StopRows {

	private StopRows() {
	}

	static Map<String, Object> row(PlannedStop stop) {
		Map<String, Object> row = new LinkedHashMap<>();
		row.put("target", stop.target().toKey());
		row.put("state", stop.state().name());
		row.put("progress", stop.progress());
		row.put("announced", Instant.ofEpochMilli(stop.announcedMillis()).toString());
		row.put("author", stop.author());
		row.put("reason", stop.reason());
		return row;
	}

}
