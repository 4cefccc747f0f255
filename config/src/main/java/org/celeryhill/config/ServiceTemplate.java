package org.celeryhill.config;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.ServiceId;

/**
 * Template of a service: its kind, its targets and its limits. Immutable and thread-safe.
 *
 * @param service the service, which is also the name of the template, not null
 * @param kind whether model engines or plain servers serve requests, not null
 * @param classes the targets of each priority class, not null, complete
 * @param limits the limits of the weight store, not null
 * @param paths the rules for calls of a plain service, of which the first match applies,
 * not null
 */
public record ServiceTemplate(ServiceId service, Kind kind, Map<PriorityClass, ClassTarget> classes,
		PlacementLimits limits, List<PathRule> paths) {

	/**
	 * Creates a template and copies the collections.
	 * @throws IllegalArgumentException if a class has no target
	 */
	public ServiceTemplate {
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(limits, "limits");
		if (!classes.keySet().containsAll(List.of(PriorityClass.values()))) {
			throw new IllegalArgumentException("template " + service + " must have a target for each priority class");
		}
		classes = java.util.Collections.unmodifiableMap(new EnumMap<>(classes));
		paths = List.copyOf(paths);
	}

	/**
	 * Returns whether a call may be sent again after a failure. A call that matches no
	 * rule is idempotent only if HTTP defines its method as safe.
	 * @param method the HTTP method, not null
	 * @param path the path below the service without the query, not null
	 * @return true if the call is idempotent
	 */
	public boolean isIdempotent(String method, String path) {
		for (PathRule rule : this.paths) {
			if (rule.matches(method, path)) {
				return rule.isIdempotent();
			}
		}
		return "GET".equalsIgnoreCase(method) || "HEAD".equalsIgnoreCase(method) || "OPTIONS".equalsIgnoreCase(method);
	}

	/** Kind of backend server that serves a template. */
	public enum Kind {

		/** Engines that load models and generate tokens. */
		MODEL_ENGINE,

		/** HTTP servers without models. */
		PLAIN_SERVICE

	}

}
