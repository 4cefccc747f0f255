package org.celeryhill.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.RequestId;

/**
 * The requests of callers that have not ended, queued or sent to a backend server. Must
 * be used on the event loop.
 */
final class ActiveCalls {

	private final Map<RequestId, ForwardCall> calls = new HashMap<>();

	void add(ForwardCall call) {
		this.calls.put(call.key, call);
	}

	void remove(ForwardCall call) {
		this.calls.remove(call.key);
	}

	Optional<ForwardCall> find(RequestId key) {
		return Optional.ofNullable(this.calls.get(key));
	}

	int count() {
		return this.calls.size();
	}

	boolean isEmpty() {
		return this.calls.isEmpty();
	}

	// Ends those that were not executed with a refusal, the others with a failure.
	void abort() {
		forEach(ForwardCall::expire);
	}

	// Ends those that wait and that the configuration no longer allows.
	void recheckAccess() {
		forEach(ForwardCall::recheckAccess);
	}

	// Queues those that were to be sent to a server for others.
	void rerouteUnsent(BackendServerId server, String reason) {
		forEach((call) -> call.rerouteUnsent(server, reason));
	}

	// Ends those whose prompt has a part that came into quarantine.
	void endThoseWithPart(long part) {
		forEach((call) -> {
			if (call.traits.all().contains(part)) {
				call.endQuarantined();
			}
		});
	}

	// A call that ends removes itself.
	private void forEach(Consumer<ForwardCall> action) {
		new ArrayList<>(this.calls.values()).forEach(action);
	}

}
