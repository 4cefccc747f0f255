package org.celeryhill.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import org.celeryhill.base.Finding;
import org.celeryhill.config.Revision;
import org.celeryhill.config.ServiceTemplate;
import org.celeryhill.placement.CapacityCheck;
import org.celeryhill.placement.PlanInput.EngineState;
import org.celeryhill.port.Engine;
import org.celeryhill.port.EngineReport;
import org.celeryhill.port.HostList;

/**
 * Checks before a revision is proposed whether its models fit the engines, with all data
 * centres and with any one of them lost. Stateless and thread-safe.
 */
final class FleetCheck {

	private FleetCheck() {
	}

	/**
	 * Checks a revision against the engines that answer. A service none of whose engines
	 * answers is not checked.
	 * @param revision the revision
	 * @param entries the host list
	 * @param engines creates the adapter of an engine
	 * @return an error for each model that fits nowhere, a warning for each that does not
	 * fit with a data centre lost
	 */
	static List<Finding> check(Revision revision, List<HostList.Entry> entries,
			Function<HostList.Entry, Engine> engines) {
		List<Finding> findings = new ArrayList<>();
		for (ServiceTemplate template : revision.templates()) {
			List<EngineState> fleet = entries.stream()
				.filter((entry) -> entry.kind() == HostList.Kind.ENGINE && !entry.leaving())
				.filter((entry) -> entry.service().equals(template.service()))
				.map((entry) -> state(entry, engines.apply(entry).report()))
				.flatMap(Optional::stream)
				.toList();
			if (!fleet.isEmpty()) {
				findings.addAll(CapacityCheck.check(revision, template.service(), fleet));
			}
		}
		return findings;
	}

	private static Optional<EngineState> state(HostList.Entry entry, Optional<EngineReport> report) {
		return report.map((found) -> new EngineState(entry.id(), entry.dataCentre(), found, found.legacyBytes(),
				Set.of(), Set.of(), false, false));
	}

}
