package org.celeryhill.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.celeryhill.base.EventLog;
import org.celeryhill.base.RequestId;

/**
 * Detects that a backend server process has ended. Responses that break can have other
 * causes, so the process counts as ended only if it refuses a new connection shortly
 * afterwards. Must be used on the event loop.
 */
final class CrashDetector {

	private static final EventLog LOG = EventLog.of(CrashDetector.class);

	/**
	 * Time within which the connections to a process that ends are closed.
	 */
	private static final long CONFIRMATION_DELAY_MS = 30;

	/** Candidates of one crash that are kept. */
	private static final int MAX_CANDIDATES = 64;

	private final Map<BackendClient.PoolKey, BrokenResponses> brokenResponses = new HashMap<>();

	private final BackendClient client;

	private final Consumer<ServerCrash> listener;

	CrashDetector(BackendClient client, Consumer<ServerCrash> listener) {
		this.client = client;
		this.listener = listener;
	}

	// Records that the connection of an attempt ended before its response was complete.
	void recordBroken(BackendClient.PoolKey server, BrokenRequest request) {
		BrokenResponses broken = this.brokenResponses.get(server);
		if (broken == null) {
			broken = new BrokenResponses(System.nanoTime());
			this.brokenResponses.put(server, broken);
			this.client.loop().schedule(() -> confirm(server), CONFIRMATION_DELAY_MS, TimeUnit.MILLISECONDS);
		}
		broken.responseCount++;
		if (!request.isRunConfirmed() && broken.candidates.size() < MAX_CANDIDATES) {
			broken.candidates.add(request);
		}
	}

	private void confirm(BackendClient.PoolKey server) {
		BrokenResponses broken = this.brokenResponses.get(server);
		if (broken.candidates.isEmpty()) {
			this.brokenResponses.remove(server);
			return;
		}
		this.client.checkListening(server.address(), (result) -> {
			this.brokenResponses.remove(server);
			LOG.info("responses_broken", "server", server.owner(), "connection", result, "responses",
					broken.responseCount, "candidates", describe(broken.candidates));
			if (result == BackendClient.Reachability.REFUSED) {
				this.listener.accept(broken.toCrash(server.owner()));
			}
		});
	}

	private static String describe(List<BrokenRequest> candidates) {
		return candidates.stream()
			.map((candidate) -> candidate.request() + ":"
					+ candidate.parts().stream().map(Long::toHexString).collect(Collectors.joining("+")))
			.collect(Collectors.joining(";"));
	}

	/**
	 * A request whose response broke.
	 *
	 * @param request the id of the request
	 * @param parts the parts by which the request can be recognised
	 * @param isRepeated whether another server had worked on the request before
	 * @param isRunConfirmed whether the server had worked on it for so long that it
	 * cannot be the cause if the server has ended
	 */
	record BrokenRequest(RequestId request, List<Long> parts, boolean isRepeated, boolean isRunConfirmed) {
	}

	private static final class BrokenResponses {

		private final List<BrokenRequest> candidates = new ArrayList<>();

		private final long nanos;

		private int responseCount;

		private BrokenResponses(long nanos) {
			this.nanos = nanos;
		}

		private ServerCrash toCrash(String server) {
			Set<List<Long>> parts = new HashSet<>();
			Set<Long> repeatedParts = new HashSet<>();
			for (BrokenRequest candidate : this.candidates) {
				parts.add(candidate.parts());
				if (candidate.isRepeated()) {
					repeatedParts.addAll(candidate.parts());
				}
			}
			return new ServerCrash(server, this.nanos, parts, repeatedParts);
		}

	}

}
