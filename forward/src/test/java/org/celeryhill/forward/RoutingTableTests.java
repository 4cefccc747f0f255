package org.celeryhill.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.celeryhill.base.ServiceId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests for {@link RoutingTable} and {@link Route}.
 */
class RoutingTableTests {

	// Guards against a shorter prefix that takes precedence over a longer one.
	@Test
	void findsRouteWithLongestPrefix() {
		RoutingTable table = table(route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"),
				route("other", "b.example", "/x/y/z/"));
		assertThat(table.findRoute("A.example:8080", "/x/y/z/q?r=1").orElseThrow().name()).isEqualTo("long");
		assertThat(table.findRoute("a.example", "/x/q").orElseThrow().name()).isEqualTo("short");
	}

	// Guards against a match within a path segment or within the query.
	@Test
	void matchesOnlyWholePrefixOfPath() {
		RoutingTable table = table(route("only", "a.example", "/x/"));
		assertThat(table.findRoute("a.example", "/xy/")).isEmpty();
		assertThat(table.findRoute("a.example", "/?/x/")).isEmpty();
		assertThat(table.findRoute("c.example", "/x/")).isEmpty();
	}

	// Guards against hosts that select different services for the same request, and
	// against a traffic split that does not follow the weights.
	@Test
	void selectsServiceByRequestIdAndWeight() {
		Route route = new Route("split", "a.example", "/x/", Route.Kind.IDEMPOTENT, Duration.ofSeconds(1),
				Duration.ofMillis(100), 0,
				List.of(new Route.Destination(ServiceId.of("main"), 90),
						new Route.Destination(ServiceId.of("trial"), 10),
						new Route.Destination(ServiceId.of("off"), 0)),
				2, false, Duration.ZERO);
		Map<ServiceId, Integer> counts = new HashMap<>();
		for (int i = 0; i < 10_000; i++) {
			String id = Integer.toHexString(i * 7919);
			assertThat(route.selectService(id)).isEqualTo(route.selectService(id));
			counts.merge(route.selectService(id), 1, Integer::sum);
		}
		assertThat(counts.get(ServiceId.of("trial"))).isBetween(800, 1200);
		assertThat(counts).doesNotContainKey(ServiceId.of("off"));
	}

	// Guards against a configuration whose prefix matches a part of a path segment.
	@Test
	void rejectsPrefixWithoutTrailingSlash() {
		assertThatIllegalArgumentException().isThrownBy(() -> route("bad", "a.example", "/x"));
	}

	private static RoutingTable table(Route... routes) {
		return RoutingTable.of(1, List.of(routes), List.of(), IngressLimits.DEFAULTS);
	}

	private static Route route(String name, String host, String prefix) {
		return new Route(name, host, prefix, Route.Kind.IDEMPOTENT, Duration.ofSeconds(1), Duration.ofMillis(100), 0,
				List.of(new Route.Destination(ServiceId.of("main"), 1)), 2, false, Duration.ZERO);
	}

}
