package org.celeryhill.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import org.celeryhill.access.KeyDirectory;
import org.celeryhill.base.ServiceId;

/**
 * One version of the routing configuration: routes, services, limits and the keys of
 * callers. Immutable and thread-safe.
 */
public final class RoutingTable {

	/** Routes by host, sorted by descending length of the path prefix. */
	private final Map<String, List<Route>> routesByHost = new HashMap<>();

	private final Map<ServiceId, ServiceProfile> services = new HashMap<>();

	private final List<Route> routes;

	private final IngressLimits limits;

	private final KeyDirectory keys;

	private final long version;

	private RoutingTable(long version, List<Route> routes, List<ServiceProfile> services, IngressLimits limits,
			KeyDirectory keys) {
		this.version = version;
		this.routes = List.copyOf(routes);
		this.limits = limits;
		this.keys = keys;
		for (Route route : routes) {
			this.routesByHost.computeIfAbsent(route.host(), (host) -> new ArrayList<>()).add(route);
		}
		Comparator<Route> longestFirst = Comparator.comparingInt((Route route) -> route.pathPrefix().length())
			.reversed();
		this.routesByHost.values().forEach((list) -> list.sort(longestFirst));
		services.forEach((service) -> this.services.put(service.id(), service));
	}

	/**
	 * Creates a table without organisations.
	 * @param version the version, positive; a higher one replaces a lower one
	 * @param routes the routes, not null
	 * @param services the services, not null
	 * @param limits the limits on requests, not null
	 * @return the table, never null
	 */
	public static RoutingTable of(long version, List<Route> routes, List<ServiceProfile> services,
			IngressLimits limits) {
		return of(version, routes, services, limits, KeyDirectory.NONE);
	}

	/**
	 * Creates a table.
	 * @param version the version, positive; a higher one replaces a lower one
	 * @param routes the routes, not null
	 * @param services the services, not null
	 * @param limits the limits on requests, not null
	 * @param keys the organisations and the keys of their callers, not null
	 * @return the table, never null
	 */
	public static RoutingTable of(long version, List<Route> routes, List<ServiceProfile> services, IngressLimits limits,
			KeyDirectory keys) {
		return new RoutingTable(version, routes, services, limits, keys);
	}

	/**
	 * Finds the route of a host with the longest path prefix that matches.
	 * @param host the value of the Host header, with or without a port, not null
	 * @param target the request target, with or without a query, not null
	 * @return the route, empty if none matches
	 */
	public Optional<Route> findRoute(String host, String target) {
		int query = target.indexOf('?');
		String path = (query >= 0) ? target.substring(0, query) : target;
		for (Route route : this.routesByHost.getOrDefault(name(host), List.of())) {
			if (path.startsWith(route.pathPrefix())) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

	private static String name(String host) {
		int colon = host.lastIndexOf(':');
		return ((colon >= 0) ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
	}

	/**
	 * Returns the version.
	 * @return the version, positive
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns all routes.
	 * @return the routes, never null
	 */
	public List<Route> routes() {
		return this.routes;
	}

	/**
	 * Returns the profile of a service.
	 * @param id the service, not null
	 * @return the profile, empty if the configuration does not contain the service
	 */
	public Optional<ServiceProfile> service(ServiceId id) {
		return Optional.ofNullable(this.services.get(id));
	}

	/**
	 * Returns the profiles of all services.
	 * @return the profiles, never null
	 */
	public List<ServiceProfile> services() {
		return List.copyOf(this.services.values());
	}

	/**
	 * Returns the limits on requests.
	 * @return the limits, never null
	 */
	public IngressLimits limits() {
		return this.limits;
	}

	/**
	 * Returns the organisations and the keys of their callers.
	 * @return the directory, never null
	 */
	public KeyDirectory keys() {
		return this.keys;
	}

}
