package org.celeryhill.cli;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

import org.celeryhill.state.ConfigurationHead;
import org.celeryhill.state.ConfigurationStore;
import org.celeryhill.state.StoreUnavailable;
import picocli.CommandLine.Command;

/**
 * Lists the latest accepted revisions, newest first.
 */
@Command(name = "history", mixinStandardHelpOptions = true,
		description = "Lists the latest accepted revisions, newest first.")
final class HistoryCommand extends AbstractStoreCommand {

	@Override
	ExitCode runWithStores() {
		ConfigurationStore.HeadResult result = stores().configurationStore().readHistory();
		if (result instanceof StoreUnavailable failure) {
			return reportUnavailable(failure);
		}
		print(((ConfigurationStore.Head) result).head().recent().stream().map(HistoryCommand::toRow).toList());
		return ExitCode.OK;
	}

	private static Map<String, Object> toRow(ConfigurationHead.Acceptance acceptance) {
		Map<String, Object> row = new LinkedHashMap<>();
		row.put("revision", acceptance.number());
		row.put("accepted", Instant.ofEpochMilli(acceptance.acceptedMillis()).toString());
		row.put("author", acceptance.author());
		row.put("digest", acceptance.digest().substring(0, 12));
		return row;
	}

}
