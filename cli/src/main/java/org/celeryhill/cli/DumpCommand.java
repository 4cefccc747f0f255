package org.celeryhill.cli;

import java.net.URI;
import java.util.Optional;

import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/**
 * Prints the internal state of one daemon.
 */
@Command(name = "dump", mixinStandardHelpOptions = true, description = "Prints the state of one daemon as JSON.")
final class DumpCommand extends AbstractCommand {

	/** URL of the admin port of the daemon. */
	@Parameters(paramLabel = "ADMIN-URL", description = "Admin port of the daemon, such as http://127.0.0.1:8081.")
	private URI admin;

	@Override
	ExitCode run() {
		AdminClient client = AdminClient.of(this.admin);
		Optional<String> dump = client.get("/admin/dump", "", "");
		if (dump.isEmpty()) {
			printError(client.failureMessage());
			return ExitCode.UNAVAILABLE;
		}
		out().println(dump.get());
		out().flush();
		return ExitCode.OK;
	}

}
