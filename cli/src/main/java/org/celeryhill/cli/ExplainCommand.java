package org.celeryhill.cli;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import org.celeryhill.port.Row;
import org.celeryhill.port.TableService;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Prints the reason for the placement of a model, or the decisions about a request.
 */
@Command(name = "explain", mixinStandardHelpOptions = true,
		description = "Explains a placement (--model) or the decisions about a request (--request, with --log for edge "
				+ "daemons or with --admin-url for entry daemons).")
final class ExplainCommand extends AbstractCommand {

	/** Name of the table in which planners record reasons of placements. */
	private static final String TABLE = "explain";

	/** Id of a model or adapter, with its version. */
	@Option(names = "--model", description = "Model or adapter, with its version.")
	private String model;

	/** Id of a request, as in the header X-Request-Id of the response. */
	@Option(names = "--request", description = "Request id, as in the response header X-Request-Id.")
	private String request;

	/** URL of the admin port of the entry daemon that received the request. */
	@Option(names = "--admin-url", description = "Admin port of the entry daemon that received the request.")
	private URI admin;

	/** Log files of edge daemons. */
	@Option(names = "--log", arity = "1..*",
			description = "Logs of edge daemons, one per host or one for all; the id is the caller's X-Attempt-Id.")
	private List<Path> logs = List.of();

	/** Connection to the services of the platform, for {@code --model}. */
	@ArgGroup(exclusive = false, heading = "Services, for --model:%n")
	private StoreConnection stores;

	@Override
	ExitCode run() {
		if (this.request != null && !this.logs.isEmpty()) {
			return explainRequestFromLogs();
		}
		if (this.request != null && this.admin != null) {
			return explainRequestFromDaemon();
		}
		if (this.model != null && this.stores != null) {
			try {
				return explainModel();
			}
			finally {
				this.stores.close();
			}
		}
		printError(
				"give --request ID with --log FILE or --admin-url URL, or --model MODEL with --table-url and --object-url");
		return ExitCode.INVALID;
	}

	private ExitCode explainRequestFromLogs() {
		List<LogLine> lines = new ArrayList<>();
		for (Path log : this.logs) {
			try (Stream<String> text = Files.lines(log)) {
				text.map(LogLine::parse).flatMap(Optional::stream).forEach(lines::add);
			}
			catch (IOException ex) {
				printError("cannot read " + log + ": " + ex.getMessage());
				return ExitCode.INVALID;
			}
		}
		RequestHistory history = RequestHistory.select(lines, this.request);
		if (history.isEmpty()) {
			printError("no log line for request '" + this.request
					+ "'; the log of the host that received it may be missing");
			return ExitCode.REFUSED;
		}
		out().println(history.summarize());
		out().println("Its lines:");
		history.requestLines().forEach(this::printLine);
		out().println("Around it:");
		history.contextLines().forEach(this::printLine);
		out().flush();
		return ExitCode.OK;
	}

	private void printLine(LogLine line) {
		out().println("  " + line.time() + " " + line.source() + " " + line.event() + " " + line.formatDetails());
	}

	private ExitCode explainModel() {
		TableService.ScanResult result = this.stores.table().scan(TABLE, "");
		if (result instanceof TableService.ReadFailed failed) {
			printError("table service unavailable: " + failed.reason());
			return ExitCode.UNAVAILABLE;
		}
		for (Row row : ((TableService.Rows) result).rows()) {
			Optional<String> reason = ExplainRowParser.reason(row.value(), this.model);
			if (reason.isPresent()) {
				print(List.of(Map.of(this.model, reason.get())));
				return ExitCode.OK;
			}
		}
		printError("no planner has recorded a reason for model '" + this.model + "'; check the id and its version");
		return ExitCode.REFUSED;
	}

	private ExitCode explainRequestFromDaemon() {
		AdminClient client = AdminClient.of(this.admin);
		Optional<String> page = client.get("/admin/explain", "request", this.request);
		if (page.isEmpty()) {
			printError(client.failureMessage());
			return ExitCode.UNAVAILABLE;
		}
		out().println(page.get());
		out().flush();
		return ExitCode.OK;
	}

}
