package org.celeryhill.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

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

/**
 * Translates a routing table into the revision that admission, routing and placement work
 * with. Routes carry no organisation, so all their requests belong to one.
 */
public final class RevisionMapping {

	/**
	 * The organisation of all requests that come in over routes.
	 */
	public static final OrganisationId ORGANISATION = OrganisationId.of("routes");

	private static final Duration DEFAULT_TARGET = Duration.ofSeconds(10);

	private static final Duration DEFAULT_BETWEEN_TOKENS = Duration.ofMillis(100);

	private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(30);

	private static final int ADAPTERS_IN_TRANSIT = 4;

	private static final int ALL_PERCENT = 100;

	private static final int LATE_PERCENT = 150;

	private RevisionMapping() {
	}

	/**
	 * Translates a table.
	 * @param table the table, not null
	 * @return the revision with the table's version as its number, never null
	 */
	public static Revision toRevision(RoutingTable table) {
		List<ServiceTemplate> templates = new ArrayList<>();
		List<OrganisationParameters> parameters = new ArrayList<>();
		for (ServiceProfile service : table.services()) {
			templates.add(template(table, service));
			List<ModelSpec> models = service.engine().map(RevisionMapping::models).orElse(List.of());
			parameters.add(new OrganisationParameters(ORGANISATION, service.id(), 1, models,
					EnumSet.allOf(PriorityClass.class), Set.of(), ALL_PERCENT));
		}
		return new Revision(table.version(), templates, parameters);
	}

	/**
	 * Returns the priority class of a route.
	 * @param route the route, not null
	 * @return the class, never null
	 */
	public static PriorityClass priority(Route route) {
		PriorityClass[] all = PriorityClass.values();
		return all[Math.min(Math.max(0, route.priority()), all.length - 1)];
	}

	private static ServiceTemplate template(RoutingTable table, ServiceProfile service) {
		Map<PriorityClass, ClassTarget> targets = new EnumMap<>(PriorityClass.class);
		for (PriorityClass priority : PriorityClass.values()) {
			targets.put(priority, target(table, service, priority));
		}
		ServiceTemplate.Kind kind = service.engine().isPresent() ? ServiceTemplate.Kind.MODEL_ENGINE
				: ServiceTemplate.Kind.PLAIN_SERVICE;
		double loads = service.engine().map(EngineProfile::loadsPerSecond).orElse(1.0);
		PlacementLimits limits = new PlacementLimits(loads, Math.max(1, (int) Math.ceil(loads * 4)),
				ADAPTERS_IN_TRANSIT);
		return new ServiceTemplate(service.id(), kind, targets, limits, List.of());
	}

	private static ClassTarget target(RoutingTable table, ServiceProfile service, PriorityClass priority) {
		Duration first = null;
		Duration between = null;
		Duration deadline = null;
		int stride = service.engine().map(EngineProfile::tokensPerEvent).orElse(1);
		for (Route route : table.routes()) {
			if (priority(route) != priority || !leadsTo(route, service.id())) {
				continue;
			}
			first = shorter(first, route.targetLatency());
			between = shorter(between, route.targetEventGap().dividedBy(stride));
			Duration latest = latestStart(route);
			deadline = (deadline == null || latest.compareTo(deadline) > 0) ? latest : deadline;
		}
		double weight = 1 << (PriorityClass.values().length - 1 - priority.ordinal());
		return new ClassTarget(Optional.ofNullable(first).orElse(DEFAULT_TARGET),
				Optional.ofNullable(between).orElse(DEFAULT_BETWEEN_TOKENS),
				Optional.ofNullable(deadline).orElse(DEFAULT_TIMEOUT), weight, weight, 0);
	}

	// A stream that starts much later than its target takes engine time from those that
	// could still start in time.
	private static Duration latestStart(Route route) {
		if (route.kind() != Route.Kind.STREAM) {
			return route.timeout();
		}
		Duration late = route.targetLatency().multipliedBy(LATE_PERCENT).dividedBy(ALL_PERCENT);
		return (late.compareTo(route.timeout()) < 0) ? late : route.timeout();
	}

	private static boolean leadsTo(Route route, ServiceId service) {
		return route.destinations().stream().anyMatch((one) -> one.service().equals(service));
	}

	private static Duration shorter(Duration one, Duration other) {
		boolean isUsable = !other.isZero() && !other.isNegative();
		return (isUsable && (one == null || other.compareTo(one) < 0)) ? other : one;
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
		return specs;
	}

	/**
	 * Returns the name of an adapter of a model.
	 * @param number its number, from 1
	 * @return the name within its model, never null
	 */
	public static String adapterName(int number) {
		return "a" + number;
	}

}
