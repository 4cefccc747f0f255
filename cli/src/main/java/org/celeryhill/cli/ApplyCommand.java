package org.celeryhill.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.celeryhill.base.Finding;
import org.celeryhill.base.RevisionDocument;
import org.celeryhill.config.ParsedRevision;
import org.celeryhill.config.Revision;
import org.celeryhill.config.RevisionParser;
import org.celeryhill.state.ConfigurationStore;
import org.celeryhill.state.StoreUnavailable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Proposes configuration files as the next revision.
 */
@Command(name = "apply", mixinStandardHelpOptions = true,
		description = "Proposes templates and parameters as the next revision. If the outcome is unknown, run it again "
				+ "with the same --expect to find out.")
final class ApplyCommand extends AbstractStoreCommand {

	/** YAML file, or directory with all YAML files, of the revision. */
	@Parameters(paramLabel = "PATH", description = "Directory with all YAML files of the revision, or one file.")
	private Path path;

	/** Number of the revision that the files are based on, null for the current one. */
	@Option(names = "--expect", paramLabel = "NUMBER",
			description = "Number of the revision that the files are based on, 0 for none; a later revision of "
					+ "another operator is reported as a conflict. Default: the current revision.")
	private Long expectedRevision;

	/** Whether models are accepted that the engines do not have enough memory for. */
	@Option(names = "--allow-unplaceable",
			description = "Accepts models that no engine has memory for; they are unavailable until one has.")
	private boolean isUnplaceableAllowed;

	/** Operator that is recorded in the history of revisions. */
	@Option(names = "--author", defaultValue = "${sys:user.name}", description = "Operator, recorded in the history.")
	private String author;

	@Override
	ExitCode runWithStores() {
		RevisionDocument document = RevisionFiles.read(this.path);
		ParsedRevision parsed = RevisionParser.parse(document);
		printFindings(parsed.findings());
		if (!parsed.isValid()) {
			printError("the files have errors; nothing was changed");
			return ExitCode.INVALID;
		}
		if (!fitsFleet(parsed.revision().get())) {
			printError("the engines do not have enough memory for all models; nothing was changed. Add engines or "
					+ "memory, or repeat with --allow-unplaceable");
			return ExitCode.REFUSED;
		}
		ConfigurationStore store = stores().configurationStore();
		OptionalLong head = readExpectedHead(store);
		if (head.isEmpty()) {
			return ExitCode.UNAVAILABLE;
		}
		return reportResult(store.propose(document, head.getAsLong(), this.author), head.getAsLong());
	}

	private boolean fitsFleet(Revision revision) {
		List<Finding> findings = stores().hosts()
			.map((entries) -> FleetCapacityCheck.check(revision, entries, stores()::engine))
			.orElseGet(() -> List.of(Finding.warning("host list", 0, "",
					"not reachable or --host-list-url not given; the models were not checked against the engines")));
		printFindings(findings);
		return this.isUnplaceableAllowed || findings.stream().noneMatch(Finding::isError);
	}

	private OptionalLong readExpectedHead(ConfigurationStore store) {
		if (this.expectedRevision != null) {
			return OptionalLong.of(this.expectedRevision);
		}
		ConfigurationStore.HeadResult result = store.readHead();
		if (result instanceof ConfigurationStore.Head head) {
			return OptionalLong.of(head.head().number());
		}
		reportUnavailable((StoreUnavailable) result);
		return OptionalLong.empty();
	}

	private ExitCode reportResult(ConfigurationStore.ProposeResult result, long head) {
		if (result instanceof ConfigurationStore.Accepted accepted) {
			print(List.of(Map.of("accepted", accepted.number())));
			return ExitCode.OK;
		}
		if (result instanceof ConfigurationStore.HeadConflict conflict) {
			printError("conflict: revision " + conflict.number() + " was accepted meanwhile, the files were made from "
					+ head + "; nothing was changed. Compare with 'celeryhill diff', merge, and apply with --expect "
					+ conflict.number());
			return ExitCode.REFUSED;
		}
		if (result instanceof ConfigurationStore.Rejected rejected) {
			printFindings(rejected.findings());
			return ExitCode.INVALID;
		}
		if (result instanceof ConfigurationStore.OutcomeUnknown unknown) {
			printError("the outcome is unknown: revision " + unknown.number()
					+ " may have been accepted; run the command again with --expect " + head + " to find out");
			return ExitCode.UNAVAILABLE;
		}
		return reportUnavailable((StoreUnavailable) result);
	}

}
