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
 * Checks, before a revision is proposed, whether the engines have enough memory for its
 * models, both with all data centres and after the loss of any one of them. Stateless and
 * thread-safe.
 */
final class FleetCapacityCheck {

	private FleetCapacityCheck() {
	}

	/**
	 * Checks a revision against the engines that respond. A service is not checked if
	 * none of its engines responds.
	 * @param revision the revision to be proposed
	 * @param entries the entries of the host list
	 * @param engines creates the client of an engine from its entry
	 * @return an error for each model that does not fit at all, a warning for each that
	 * does not fit after the loss of a data centre
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
