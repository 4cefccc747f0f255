package org.celeryhill.cli;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

import org.celeryhill.state.PlannedStop;

/**
 * Converts planned stops to rows of command output. Stateless and thread-safe.
 */
final class PlannedStopRows {

	private PlannedStopRows() {
	}

	static Map<String, Object> toRow(PlannedStop stop) {
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
