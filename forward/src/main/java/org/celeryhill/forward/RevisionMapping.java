package org.celeryhill.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import org.celeryhill.access.Organisation;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.ServiceId;
import org.celeryhill.config.ClassTarget;
import org.celeryhill.config.ModelSpec;
import org.celeryhill.config.OrganisationParameters;
import org.celeryhill.config.PlacementLimits;
import org.celeryhill.config.Revision;
import org.celeryhill.config.ServiceTemplate;
import org.celeryhill.quota.QuotaLimit;

/**
 * Converts a routing table into the configuration revision that admission, routing and
 * placement use. Each organisation may use all models. Requests without an organisation,
 * because the configuration has none or their route is public, are assigned to
 * {@link #ORGANISATION}.
 */
public final class RevisionMapping {

	/**
	 * The organisation of all requests without an organisation of the configuration.
	 */
	public static final OrganisationId ORGANISATION = OrganisationId.of("routes");

	private static final Duration DEFAULT_FIRST_TOKEN_TARGET = Duration.ofSeconds(10);

	private static final Duration DEFAULT_BETWEEN_TOKENS_TARGET = Duration.ofMillis(100);

	private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(30);

	private static final int ADAPTERS_IN_TRANSIT = 4;

	private static final int FULL_PERCENT = 100;

	private static final int LATEST_START_PERCENT = 150;

	private RevisionMapping() {
	}

	/**
	 * Converts a routing table.
	 * @param table the table, not null
	 * @return the revision, numbered with the version of the table, never null
	 */
	public static Revision toRevision(RoutingTable table) {
		List<ServiceTemplate> templates = new ArrayList<>();
		List<OrganisationParameters> parameters = new ArrayList<>();
		for (ServiceProfile service : table.services()) {
			templates.add(toTemplate(table, service));
			List<ModelSpec> models = service.engine().map(RevisionMapping::models).orElse(List.of());
			for (OrganisationId organisation : organisations(table)) {
				parameters.add(new OrganisationParameters(organisation, service.id(), 1, models,
						EnumSet.allOf(PriorityClass.class), Set.of(), FULL_PERCENT));
			}
		}
		return new Revision(table.version(), templates, parameters);
	}

	private static Set<OrganisationId> organisations(RoutingTable table) {
		Set<OrganisationId> ids = new LinkedHashSet<>();
		table.keys().organisations().forEach((organisation) -> ids.add(organisation.id()));
		if (ids.isEmpty() || table.routes().stream().anyMatch(Route::isPublic)) {
			ids.add(ORGANISATION);
		}
		return ids;
	}

	/**
	 * Returns the priority class of a request. The priority of its organisation goes
	 * before that of its route, which decides among organisations of equal priority. A
	 * priority without a class maps to the nearest class.
	 * @param table the configuration, not null
	 * @param route the route, not null
	 * @param organisation the organisation, not null; empty for a request without one
	 * @return the class, never null
	 */
	public static PriorityClass priority(RoutingTable table, Route route, Optional<Organisation> organisation) {
		OptionalInt own = organisation.map(Organisation::priority).orElse(OptionalInt.empty());
		PriorityClass[] all = PriorityClass.values();
		int priority = table.keys().hasDifferentPriorities() ? own.orElse(route.priority()) : route.priority();
		return all[Math.min(Math.max(0, priority), all.length - 1)];
	}

	// Returns whether requests of a route may have a priority.
	private static boolean mayHave(RoutingTable table, Route route, PriorityClass priority) {
		if (route.isPublic() || !table.keys().isKeyRequired()) {
			return priority(table, route, Optional.empty()) == priority;
		}
		return table.keys()
			.organisations()
			.stream()
			.anyMatch((organisation) -> priority(table, route, Optional.of(organisation)) == priority);
	}

	private static ServiceTemplate toTemplate(RoutingTable table, ServiceProfile service) {
		Map<PriorityClass, ClassTarget> targets = new EnumMap<>(PriorityClass.class);
		for (PriorityClass priority : PriorityClass.values()) {
			targets.put(priority, target(table, service, priority));
		}
		ServiceTemplate.Kind kind = service.engine().isPresent() ? ServiceTemplate.Kind.MODEL_ENGINE
				: ServiceTemplate.Kind.PLAIN_SERVICE;
		double loadRate = service.engine().map(EngineProfile::loadsPerSecond).orElse(1.0);
		PlacementLimits limits = new PlacementLimits(loadRate, Math.max(1, (int) Math.ceil(loadRate * 4)),
				ADAPTERS_IN_TRANSIT);
		return new ServiceTemplate(service.id(), kind, targets, limits, List.of());
	}

	private static ClassTarget target(RoutingTable table, ServiceProfile service, PriorityClass priority) {
		Duration firstTokenTarget = null;
		Duration betweenTokensTarget = null;
		Duration deadline = null;
		int tokensPerEvent = service.engine().map(EngineProfile::tokensPerEvent).orElse(1);
		for (Route route : table.routes()) {
			if (!routesTo(route, service.id()) || !mayHave(table, route, priority)) {
				continue;
			}
			firstTokenTarget = shortestPositive(firstTokenTarget, route.targetLatency());
			betweenTokensTarget = shortestPositive(betweenTokensTarget,
					route.targetEventGap().dividedBy(tokensPerEvent));
			Duration latest = latestStart(route);
			deadline = (deadline == null || latest.compareTo(deadline) > 0) ? latest : deadline;
		}
		double weight = 1 << (PriorityClass.values().length - 1 - priority.ordinal());
		return new ClassTarget(Optional.ofNullable(firstTokenTarget).orElse(DEFAULT_FIRST_TOKEN_TARGET),
				Optional.ofNullable(betweenTokensTarget).orElse(DEFAULT_BETWEEN_TOKENS_TARGET),
				Optional.ofNullable(deadline).orElse(DEFAULT_DEADLINE), weight, weight, 0);
	}

	// Returns the latest time to start a request. A stream that starts long after its
	// target would take engine time from streams that can still meet theirs.
	static Duration latestStart(Route route) {
		if (route.kind() != Route.Kind.STREAM) {
			return route.timeout();
		}
		Duration latest = route.targetLatency().multipliedBy(LATEST_START_PERCENT).dividedBy(FULL_PERCENT);
		return (latest.compareTo(route.timeout()) < 0) ? latest : route.timeout();
	}

	private static boolean routesTo(Route route, ServiceId service) {
		return route.destinations().stream().anyMatch((destination) -> destination.service().equals(service));
	}

	private static Duration shortestPositive(Duration current, Duration candidate) {
		boolean isUsable = !candidate.isZero() && !candidate.isNegative();
		return (isUsable && (current == null || candidate.compareTo(current) < 0)) ? candidate : current;
	}

	private static List<ModelSpec> models(EngineProfile engine) {
		List<ModelSpec> specs = new ArrayList<>();
		for (EngineProfile.Model model : engine.models()) {
			specs.add(new ModelSpec(model.id(), model.bytes(), Optional.empty(), 1, Integer.MAX_VALUE));
			for (int i = 1; i <= model.adapterCount(); i++) {
				ModelId adapter = RequestMetadata.ModelName.adapterId(model.id(), adapterName(i));
				specs.add(new ModelSpec(adapter, Math.max(1, model.adapterBytes()), Optional.of(model.id()), 1,
						Integer.MAX_VALUE));
			}
		}
		// The organisations share one list, which is only copied if it is mutable.
		return List.copyOf(specs);
	}

	/**
	 * Returns the name of an adapter by its number.
	 * @param number the number of the adapter within its model, from 1
	 * @return the name within its model, never null
	 */
	public static String adapterName(int number) {
		return "a" + number;
	}

	// Returns the limits of the organisations that have one.
	static Map<OrganisationId, QuotaLimit> quotaLimits(RoutingTable table) {
		Map<OrganisationId, QuotaLimit> limits = new HashMap<>();
		for (Organisation organisation : table.keys().organisations()) {
			organisation.quota().ifPresent((limit) -> limits.put(organisation.id(), limit));
		}
		return limits;
	}

}
