package org.celeryhill.cli;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

import org.celeryhill.state.ConfigurationHead;
import org.celeryhill.state.ConfigurationStore;
import org.celeryhill.state.StoreUnavailable;
import picocli.CommandLine.Command;

/**
 * Lists the latest accepted revisions.
 */
@Command(name = "history", mixinStandardHelpOptions = true,
		description = "Lists the latest accepted revisions, newest first.")
final class HistoryCommand extends AbstractStoreCommand {

	@Override
	ExitCode runWithStores() {
		ConfigurationStore.HeadResult result = stores().configuration().readHistory();
		if (result instanceof StoreUnavailable failure) {
			return unavailable(failure);
		}
		print(((ConfigurationStore.Head) result).head().recent().stream().map(HistoryCommand::row).toList());
		return ExitCode.OK;
	}

	private static Map<String, Object> row(ConfigurationHead.Acceptance acceptance) {
		Map<String, Object> row = new LinkedHashMap<>();
		row.put("revision", acceptance.number());
		row.put("accepted", Instant.ofEpochMilli(acceptance.acceptedMillis()).toString());
		row.put("author", acceptance.author());
		row.put("digest", acceptance.digest().substring(0, 12));
		return row;
	}

}
