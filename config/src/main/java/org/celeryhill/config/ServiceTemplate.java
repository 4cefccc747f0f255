package org.celeryhill.config;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.ServiceId;

/**
 * Template of one kind of service. Immutable and thread-safe.
 *
 * @param service the service, which is also the name of the template, not null
 * @param kind whether model engines or plain services serve it, not null
 * @param classes the targets of each priority class, not null, complete
 * @param limits the limits of the weight store, not null
 * @param paths the rules for calls of a plain service, first match wins, not null
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
			throw new IllegalArgumentException("template " + service + " lacks a target for a priority class");
		}
		classes = java.util.Collections.unmodifiableMap(new EnumMap<>(classes));
		paths = List.copyOf(paths);
	}

	/**
	 * Returns whether a call may be repeated. A call that no rule matches may be repeated
	 * only if its method is safe by the HTTP definition.
	 * @param method the HTTP method, not null
	 * @param path the path below the service without query, not null
	 * @return true if it may be repeated
	 */
	public boolean isIdempotent(String method, String path) {
		for (PathRule rule : this.paths) {
			if (rule.matches(method, path)) {
				return rule.isIdempotent();
			}
		}
		return "GET".equalsIgnoreCase(method) || "HEAD".equalsIgnoreCase(method) || "OPTIONS".equalsIgnoreCase(method);
	}

	/** What serves a template. */
	public enum Kind {

		/** Model engines. */
		MODEL_ENGINE,

		/** Plain services. */
		PLAIN_SERVICE

	}

}
