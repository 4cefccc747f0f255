package org.celeryhill.forward;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.celeryhill.base.EventLog;
import org.celeryhill.traffic.CrashEvidence;
import org.celeryhill.traffic.PromptQuarantine;
import org.celeryhill.traffic.RequestTraits;

/**
 * Keeps requests away from backend servers if they end each server which works on them,
 * as a whole or because of a part of their prompt. Collects the evidence of this host and
 * takes that of other hosts. Must be used on the event loop.
 */
public final class PromptGuard {

	private static final EventLog LOG = EventLog.of(PromptGuard.class);

	private final PromptQuarantine quarantine = new PromptQuarantine();

	private final CrashDetector crashDetector;

	private final ForwardMetrics metrics;

	private final Consumer<Long> quarantineListener;

	private Map<Long, Integer> quarantinedParts = Map.of();

	private Runnable evidenceListener = () -> {
	};

	private BooleanSupplier probePermit = () -> false;

	PromptGuard(BackendClient client, ForwardMetrics metrics, Consumer<Long> quarantineListener) {
		this.crashDetector = new CrashDetector(client, this::handleCrash);
		this.metrics = metrics;
		this.quarantineListener = quarantineListener;
	}

	/**
	 * Sets the listener for new evidence of this host, which other hosts need.
	 * @param listener called after each new piece of evidence, not null
	 */
	public void setEvidenceListener(Runnable listener) {
		this.evidenceListener = listener;
	}

	/**
	 * Sets whether this host is the one that may send a request with a part in quarantine
	 * from time to time. Without it, this host sends none.
	 * @param permit returns whether it may, not null
	 */
	public void setProbePermit(BooleanSupplier permit) {
		this.probePermit = permit;
	}

	/**
	 * Returns the evidence and the decisions that follow from it, for the exchange with
	 * other hosts.
	 * @return the quarantine, to be changed by {@link #addFromPeer} only, never null
	 */
	public PromptQuarantine quarantine() {
		return this.quarantine;
	}

	/**
	 * Adds evidence of another host.
	 * @param evidence the evidence with times on the clock of this host, not null
	 */
	public void addFromPeer(List<CrashEvidence> evidence) {
		List<CrashEvidence> added = this.quarantine.addAll(evidence);
		if (!added.isEmpty()) {
			added.forEach((one) -> logEvidence(one, "peer"));
			handleDecisions();
		}
	}

	// Returns the time after which to retry if a request must not be sent now, else
	// empty.
	Optional<Duration> check(RequestTraits traits, long now) {
		Optional<Long> part = findQuarantined(traits);
		if (part.isEmpty()) {
			return Optional.empty();
		}
		Duration wait = this.quarantine.timeUntilProbe(part.get(), now);
		if (wait.isZero() && this.probePermit.getAsBoolean()) {
			LOG.info("prompt_part_probed", "part", Long.toHexString(part.get()));
			this.quarantine.recordProbe(part.get(), now);
			return Optional.empty();
		}
		return Optional.of(wait);
	}

	boolean isQuarantined(RequestTraits traits) {
		return findQuarantined(traits).isPresent();
	}

	private Optional<Long> findQuarantined(RequestTraits traits) {
		return this.quarantinedParts.isEmpty() ? Optional.empty() : this.quarantine.findQuarantined(traits.all());
	}

	void recordBroken(BackendClient.PoolKey server, CrashDetector.BrokenRequest request) {
		this.crashDetector.recordBroken(server, request);
	}

	void recordServed(RequestTraits traits, long sentNanos) {
		if (this.quarantine.recordServed(traits, sentNanos)) {
			handleDecisions();
			this.evidenceListener.run();
		}
	}

	private void handleCrash(ServerCrash crash) {
		this.metrics.recordServerCrash();
		CrashEvidence evidence = new CrashEvidence.Crash(crash.server(), crash.candidates(), crash.repeatedParts(),
				crash.brokenNanos());
		if (this.quarantine.add(evidence)) {
			logEvidence(evidence, "own");
			handleDecisions();
			this.evidenceListener.run();
		}
	}

	private static void logEvidence(CrashEvidence evidence, String source) {
		if (evidence instanceof CrashEvidence.Crash crash) {
			LOG.info("server_crash_known", "server", crash.server(), "candidates", crash.candidates().size(), "source",
					source);
		}
	}

	void removeExpired(long now) {
		this.quarantine.removeExpired(now);
		handleDecisions();
	}

	private void handleDecisions() {
		Map<Long, Integer> before = this.quarantinedParts;
		this.quarantinedParts = this.quarantine.quarantined();
		if (before.equals(this.quarantinedParts)) {
			return;
		}
		for (Long part : before.keySet()) {
			if (!this.quarantinedParts.containsKey(part)) {
				LOG.info("prompt_part_released", "part", Long.toHexString(part));
			}
		}
		this.quarantinedParts.forEach((part, crashes) -> {
			if (!before.containsKey(part)) {
				LOG.warn("prompt_part_quarantined", "part", Long.toHexString(part), "crashes", crashes);
				this.quarantineListener.accept(part);
			}
		});
		this.metrics.setQuarantinedParts(this.quarantinedParts.size());
	}

}
