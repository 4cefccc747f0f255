package org.celeryhill.traffic;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Converts the state of a service into a tree of maps and scalars for the state dump.
 */
final class StateDump {

	private StateDump() {
	}

	/**
	 * Returns the state of one service.
	 * @param pool the service
	 * @param now the current time in nanoseconds
	 * @return a tree that a JSON writer accepts
	 */
	static Map<String, Object> toTree(ServicePool pool, long now) {
		Map<String, Object> organisations = new LinkedHashMap<>();
		for (OrganisationQueue organisation : pool.queue.organisations()) {
			organisations.put(organisation.id.value(), toTree(organisation));
		}
		Map<String, Object> backends = new LinkedHashMap<>();
		for (BackendState backend : pool.backends()) {
			backends.put(backend.id.value(), toTree(backend, now));
		}
		Map<String, Object> tree = new LinkedHashMap<>();
		tree.put("organisations", organisations);
		tree.put("backend_servers", backends);
		return tree;
	}

	/**
	 * Returns the counts of decisions on waits.
	 * @param policy the policy that decides on waits
	 * @return a tree that a JSON writer accepts
	 */
	static Map<String, Object> toTree(WaitPolicy policy) {
		Map<String, Object> tree = new LinkedHashMap<>();
		tree.put("refused_at_arrival", policy.refusedAtArrival());
		tree.put("refused_while_waiting", policy.refusedWhileWaiting());
		tree.put("returns_honoured", policy.honouredReturns());
		return tree;
	}

	private static Map<String, Object> toTree(OrganisationQueue organisation) {
		Map<String, Object> tree = new LinkedHashMap<>();
		tree.put("weight", organisation.weight);
		tree.put("configured_weight", organisation.configuredWeight);
		tree.put("virtual_start", organisation.startTag);
		tree.put("classes_at_floor", Math.max(0, organisation.classes.length - organisation.firstClassAtFloor()));
		for (ClassQueue queue : organisation.classes) {
			Map<String, Object> state = new LinkedHashMap<>();
			state.put("waiting", queue.waitingCount());
			state.put("waiting_tokens", queue.tokens());
			state.put("output_part", queue.outputFraction);
			state.put("promised_returns", queue.returns.size());
			tree.put(queue.priority.toLabel(), state);
		}
		return tree;
	}

	private static Map<String, Object> toTree(BackendState backend, long now) {
		Map<String, Object> tree = new LinkedHashMap<>();
		tree.put("usable", backend.isUsable());
		tree.put("suspect", backend.isSuspect);
		tree.put("attempts", backend.ownAttemptCount());
		tree.put("own_units", backend.ownUnits());
		tree.put("limit_units", backend.limitUnits());
		tree.put("load", backend.load());
		tree.put("load_age_ms", Math.max(-1, backend.otherLoad.ageNanos(now) / 1_000_000));
		backend.speed.addTo(tree, now);
		return tree;
	}

}
