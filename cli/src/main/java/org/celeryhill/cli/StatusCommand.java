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
 * Shows the configuration in effect, planned stops and hosts.
 */
@Command(name = "status", mixinStandardHelpOptions = true,
		description = "Shows the current revision, the planned stops with their progress, and the host list.")
final class StatusCommand extends AbstractStoreCommand {

	@Override
	ExitCode runWithStores() {
		ConfigurationStore.HeadResult head = stores().configuration().readHead();
		if (head instanceof StoreUnavailable failure) {
			return unavailable(failure);
		}
		PlannedStopStore.ListResult stops = stores().stops().list();
		if (stops instanceof StoreUnavailable failure) {
			return unavailable(failure);
		}
		List<Map<String, Object>> rows = new ArrayList<>();
		rows.add(row("revision", String.valueOf(((ConfigurationStore.Head) head).head().number()), "in effect", ""));
		((PlannedStopStore.Listed) stops).stops()
			.forEach((stop) -> rows
				.add(row("planned stop", stop.target().toKey(), stop.state().name(), stop.progress())));
		Optional<List<HostList.Entry>> hosts = stores().hosts();
		hosts.ifPresentOrElse((entries) -> entries.forEach((entry) -> rows.add(row(entry))),
				() -> rows.add(row("host list", "", "unknown", "not reachable or --host-list-url not given")));
		print(rows);
		return ExitCode.OK;
	}

	private static Map<String, Object> row(HostList.Entry entry) {
		return row(entry.kind().name().toLowerCase(java.util.Locale.ROOT), entry.id().value(),
				(entry.leaving()) ? "leaving" : "live",
				entry.service() + " in " + entry.dataCentre() + " at " + entry.address());
	}

	private static Map<String, Object> row(String kind, String id, String state, String detail) {
		Map<String, Object> row = new LinkedHashMap<>();
		row.put("kind", kind);
		row.put("id", id);
		row.put("state", state);
		row.put("detail", detail);
		return row;
	}

}
