package org.celeryhill.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
	private static final int MAX_CANDIDATES = 16;

	private final Map<BackendClient.PoolKey, BrokenResponses> brokenResponses = new HashMap<>();

	private final BackendClient client;

	private final Consumer<ServerCrash> listener;

	CrashDetector(BackendClient client, Consumer<ServerCrash> listener) {
		this.client = client;
		this.listener = listener;
	}

	// Records that the connection of an attempt ended before its response was complete.
	void recordBroken(BackendClient.PoolKey server, RequestId request, List<Long> promptParts, boolean isConfirmed) {
		BrokenResponses broken = this.brokenResponses.get(server);
		if (broken == null) {
			broken = new BrokenResponses(System.nanoTime());
			this.brokenResponses.put(server, broken);
			this.client.loop().schedule(() -> confirm(server), CONFIRMATION_DELAY_MS, TimeUnit.MILLISECONDS);
		}
		broken.responseCount++;
		if (!isConfirmed && !promptParts.isEmpty() && broken.candidates.size() < MAX_CANDIDATES) {
			broken.candidates.add(new Candidate(request, promptParts));
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
				this.listener.accept(new ServerCrash(server.owner(), broken.nanos,
						broken.candidates.stream().map(Candidate::promptParts).toList()));
			}
		});
	}

	private static String describe(List<Candidate> candidates) {
		return candidates.stream()
			.map((candidate) -> candidate.request() + ":"
					+ candidate.promptParts().stream().map(Long::toHexString).collect(Collectors.joining("+")))
			.collect(Collectors.joining(";"));
	}

	/**
	 * A request that may have ended the process.
	 */
	private record Candidate(RequestId request, List<Long> promptParts) {
	}

	private static final class BrokenResponses {

		private final List<Candidate> candidates = new ArrayList<>();

		private final long nanos;

		private int responseCount;

		private BrokenResponses(long nanos) {
			this.nanos = nanos;
		}

	}

}
