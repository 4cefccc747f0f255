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
 * Proposes the files of a directory as the next revision.
 */
@Command(name = "apply", mixinStandardHelpOptions = true,
		description = "Proposes templates and parameters as the next revision. With an unanswered write, run it again "
				+ "with the same --expect to learn the outcome.")
final class ApplyCommand extends AbstractStoreCommand {

	/** Directory or file with the templates and parameters. */
	@Parameters(paramLabel = "PATH", description = "Directory with all YAML files of the revision, or one file.")
	private Path path;

	/** Number of the revision that the change was made from. */
	@Option(names = "--expect", paramLabel = "NUMBER",
			description = "Number of the revision that the files were made from, 0 for none; another operator's "
					+ "change in between is reported as a conflict. Default: the current revision.")
	private Long expected;

	/** Whether models that fit nowhere are accepted. */
	@Option(names = "--allow-unplaceable",
			description = "Accepts models that no engine has memory for; they stay unreachable until there is.")
	private boolean isUnplaceableAllowed;

	/** Operator for the history. */
	@Option(names = "--author", defaultValue = "${sys:user.name}", description = "Operator, for the history.")
	private String author;

	@Override
	ExitCode runWithStores() {
		RevisionDocument document = RevisionFiles.read(this.path);
		ParsedRevision parsed = RevisionParser.parse(document);
		printFindings(parsed.findings());
		if (!parsed.isValid()) {
			fail("the files have errors; nothing was changed");
			return ExitCode.INVALID;
		}
		if (!isFitting(parsed.revision().get())) {
			fail("models do not fit the fleet; nothing was changed. Add engines or memory, or repeat with "
					+ "--allow-unplaceable");
			return ExitCode.REFUSED;
		}
		ConfigurationStore store = stores().configuration();
		OptionalLong head = expectedHead(store);
		if (head.isEmpty()) {
			return ExitCode.UNAVAILABLE;
		}
		return report(store.propose(document, head.getAsLong(), this.author), head.getAsLong());
	}

	private boolean isFitting(Revision revision) {
		List<Finding> findings = stores().hosts()
			.map((entries) -> FleetCheck.check(revision, entries, stores()::engine))
			.orElseGet(() -> List.of(Finding.warning("host list", 0, "",
					"not reachable or --host-list-url not given; the models were not checked against the fleet")));
		printFindings(findings);
		return this.isUnplaceableAllowed || findings.stream().noneMatch(Finding::isError);
	}

	private OptionalLong expectedHead(ConfigurationStore store) {
		if (this.expected != null) {
			return OptionalLong.of(this.expected);
		}
		ConfigurationStore.HeadResult result = store.readHead();
		if (result instanceof ConfigurationStore.Head head) {
			return OptionalLong.of(head.head().number());
		}
		unavailable((StoreUnavailable) result);
		return OptionalLong.empty();
	}

	private ExitCode report(ConfigurationStore.ProposeResult result, long head) {
		if (result instanceof ConfigurationStore.Accepted accepted) {
			print(List.of(Map.of("accepted", accepted.number())));
			return ExitCode.OK;
		}
		if (result instanceof ConfigurationStore.HeadConflict conflict) {
			fail("conflict: revision " + conflict.number() + " was accepted meanwhile, the files were made from " + head
					+ "; nothing was changed. Compare with 'celeryhill diff', merge, and apply with --expect "
					+ conflict.number());
			return ExitCode.REFUSED;
		}
		if (result instanceof ConfigurationStore.Rejected rejected) {
			printFindings(rejected.findings());
			return ExitCode.INVALID;
		}
		if (result instanceof ConfigurationStore.OutcomeUnknown unknown) {
			fail("it is not known whether revision " + unknown.number()
					+ " was accepted; run the command again with --expect " + head + " to learn it");
			return ExitCode.UNAVAILABLE;
		}
		return unavailable((StoreUnavailable) result);
	}

}
