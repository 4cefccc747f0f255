package org.celeryhill.traffic;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Trees of maps and scalars for the state dump.
 */
final class StateDump {

	private StateDump() {
	}

	/**
	 * Returns the state of one service.
	 * @param pool the service
	 * @return the tree
	 */
	static Map<String, Object> toTree(ServicePool pool) {
		Map<String, Object> organisations = new LinkedHashMap<>();
		for (OrganisationQueue one : pool.queue.organisations()) {
			organisations.put(one.id.value(), toTree(one));
		}
		Map<String, Object> backends = new LinkedHashMap<>();
		for (BackendState one : pool.backends()) {
			backends.put(one.id.value(), toTree(one));
		}
		Map<String, Object> tree = new LinkedHashMap<>();
		tree.put("organisations", organisations);
		tree.put("backend_servers", backends);
		return tree;
	}

	private static Map<String, Object> toTree(OrganisationQueue one) {
		Map<String, Object> tree = new LinkedHashMap<>();
		tree.put("weight", one.weight);
		tree.put("virtual_start", one.tag);
		tree.put("classes_at_floor", Math.max(0, one.classes.length - one.floorFrom()));
		for (ClassQueue queue : one.classes) {
			Map<String, Object> state = new LinkedHashMap<>();
			state.put("waiting", queue.count());
			state.put("waiting_tokens", queue.tokens());
			state.put("output_part", queue.outputPart);
			tree.put(queue.priority.toLabel(), state);
		}
		return tree;
	}

	private static Map<String, Object> toTree(BackendState one) {
		Map<String, Object> tree = new LinkedHashMap<>();
		tree.put("usable", one.isUsable());
		tree.put("suspect", one.isSuspect);
		tree.put("attempts", one.ownCount());
		tree.put("own_units", one.ownUnits());
		tree.put("limit_units", one.maximum());
		tree.put("load", one.load());
		return tree;
	}

}
