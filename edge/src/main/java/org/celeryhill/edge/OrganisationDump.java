package org.celeryhill.edge;

import java.util.LinkedHashMap;
import java.util.Map;

import org.celeryhill.access.Organisation;
import org.celeryhill.forward.RoutingTable;
import org.celeryhill.quota.QuotaLimit;

/**
 * Converts the organisations of a configuration into a tree of maps and scalars for the
 * state dump. The tree contains no key.
 */
final class OrganisationDump {

	private OrganisationDump() {
	}

	/**
	 * Returns the organisations of a configuration.
	 * @param table the configuration, not null
	 * @return the organisations by id, never null
	 */
	static Map<String, Object> toTree(RoutingTable table) {
		Map<String, Object> organisations = new LinkedHashMap<>();
		for (Organisation organisation : table.keys().organisations()) {
			Map<String, Object> tree = new LinkedHashMap<>();
			tree.put("keys", table.keys().keyCount(organisation.id()));
			organisation.priority().ifPresent((priority) -> tree.put("priority", priority));
			organisation.quota().ifPresent((limit) -> tree.put("limit", toTree(limit)));
			organisations.put(organisation.id().value(), tree);
		}
		return organisations;
	}

	private static Map<String, Object> toTree(QuotaLimit limit) {
		Map<String, Object> tree = new LinkedHashMap<>();
		tree.put("unit", limit.unit());
		tree.put("rate_per_second", limit.ratePerSecond());
		tree.put("burst", limit.burst());
		tree.put("default_tokens", limit.defaultTokens());
		return tree;
	}

}
