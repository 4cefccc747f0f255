package org.celeryhill.cli;

import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.celeryhill.port.Row;
import org.celeryhill.port.TableService;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Explains why a model stands where it stands, or what was decided about a request.
 */
@Command(name = "explain", mixinStandardHelpOptions = true,
		description = "Explains a placement (--model) or the decisions about a request (--request with --admin-url).")
final class ExplainCommand extends AbstractStoreCommand {

	/** Table with the reasons of the planners. */
	private static final String TABLE = "explain";

	/** Model or adapter. */
	@Option(names = "--model", description = "Model or adapter, with its version.")
	private String model;

	/** Request id. */
	@Option(names = "--request", description = "Request id, as in the answer's header X-Request-Id.")
	private String request;

	/** Admin port of the entry daemon that took the request. */
	@Option(names = "--admin-url", description = "Admin port of the entry daemon that took the request.")
	private URI admin;

	@Override
	ExitCode runWithStores() {
		if (this.model != null) {
			return explainModel();
		}
		if (this.request != null && this.admin != null) {
			return explainRequest();
		}
		fail("give --model MODEL, or --request ID with --admin-url URL");
		return ExitCode.INVALID;
	}

	private ExitCode explainModel() {
		TableService.ScanResult result = stores().table().scan(TABLE, "");
		if (result instanceof TableService.ReadFailed failed) {
			fail("table service unavailable: " + failed.reason());
			return ExitCode.UNAVAILABLE;
		}
		for (Row row : ((TableService.Rows) result).rows()) {
			Optional<String> reason = ExplainRow.reason(row.value(), this.model);
			if (reason.isPresent()) {
				print(List.of(Map.of(this.model, reason.get())));
				return ExitCode.OK;
			}
		}
		fail("no planner has recorded a reason for model '" + this.model + "'; check the id and its version");
		return ExitCode.REFUSED;
	}

	private ExitCode explainRequest() {
		AdminClient client = AdminClient.of(this.admin);
		Optional<String> page = client.get("/admin/explain", "request", this.request);
		if (page.isEmpty()) {
			fail(client.failure());
			return ExitCode.UNAVAILABLE;
		}
		out().println(page.get());
		out().flush();
		return ExitCode.OK;
	}

}
