package org.celeryhill.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.celeryhill.port.HostList;
import org.celeryhill.state.ConfigurationStore;
import org.celeryhill.state.PlannedStopStore;
import org.celeryhill.state.StoreUnavailable;
import picocli.CommandLine.Command;

/**
 * Prints the current revision, the planned stops and the host list.
 */
@Command(name = "status", mixinStandardHelpOptions = true,
		description = "Shows the current revision, the planned stops with their progress, and the host list.")
final class StatusCommand extends AbstractStoreCommand {

	@Override
	ExitCode runWithStores() {
		ConfigurationStore.HeadResult head = stores().configurationStore().readHead();
		if (head instanceof StoreUnavailable failure) {
			return reportUnavailable(failure);
		}
		PlannedStopStore.ListResult stops = stores().plannedStops().list();
		if (stops instanceof StoreUnavailable failure) {
			return reportUnavailable(failure);
		}
		List<Map<String, Object>> rows = new ArrayList<>();
		rows.add(toRow("revision", String.valueOf(((ConfigurationStore.Head) head).head().number()), "in effect", ""));
		((PlannedStopStore.Listed) stops).stops()
			.forEach((stop) -> rows
				.add(toRow("planned stop", stop.target().toKey(), stop.state().name(), stop.progress())));
		Optional<List<HostList.Entry>> hosts = stores().hosts();
		hosts.ifPresentOrElse((entries) -> entries.forEach((entry) -> rows.add(toRow(entry))),
				() -> rows.add(toRow("host list", "", "unknown", "not reachable or --host-list-url not given")));
		print(rows);
		return ExitCode.OK;
	}

	private static Map<String, Object> toRow(HostList.Entry entry) {
		return toRow(entry.kind().name().toLowerCase(java.util.Locale.ROOT), entry.id().value(),
				(entry.leaving()) ? "leaving" : "live",
				entry.service() + " in " + entry.dataCentre() + " at " + entry.address());
	}

	private static Map<String, Object> toRow(String kind, String id, String state, String detail) {
		Map<String, Object> row = new LinkedHashMap<>();
		row.put("kind", kind);
		row.put("id", id);
		row.put("state", state);
		row.put("detail", detail);
		return row;
	}

}
