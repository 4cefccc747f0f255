package org.celeryhill.planner;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.TimerService;
import org.celeryhill.placement.PlacementPlan;
import org.celeryhill.port.Engine;
import org.celeryhill.port.EngineCommand;
import org.celeryhill.port.EngineReport;
import org.celeryhill.state.AttemptIds;
import org.celeryhill.state.CommandLedger;
import org.celeryhill.state.EngineLedger;
import org.celeryhill.state.Lease;
import org.celeryhill.state.LedgerEntry;

/**
 * Sends commands to engines, each only after it is recorded in the ledger. Thread-safe.
 */
final class CommandSender {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(CommandSender.class);

	/** Ledgers of the engines. */
	private final CommandLedger ledger;

	/** Time. */
	private final TimerService timer;

	/** Time after which a command without effect is sent again, in nanoseconds. */
	private final long resendNanos;

	/** When this process last sent a command, in monotonic nanoseconds. */
	private final Map<AttemptId, Long> sentNanos = new ConcurrentHashMap<>();

	CommandSender(CommandLedger ledger, TimerService timer, Duration resendAfter) {
		this.ledger = Objects.requireNonNull(ledger, "ledger");
		this.timer = Objects.requireNonNull(timer, "timer");
		this.resendNanos = resendAfter.toNanos();
	}

	/**
	 * Records and sends a step of a plan. Blocks.
	 * @param lease the lease of the engine's group, not null
	 * @param observed the engine with the report on which the plan rests, not null
	 * @param step the step, not null
	 * @param keeper another engine that keeps the model of an unload, not null
	 */
	void send(Lease lease, EngineObservation observed, PlacementPlan.Step step, Optional<EngineObservation> keeper) {
		EngineCommand command = new EngineCommand(AttemptIds.random().get(), step.engine(), step.action(), step.model(),
				step.bytes(), lease.token());
		CommandLedger.RecordResult recorded = record(lease, command, observed, keeper);
		if (recorded instanceof CommandLedger.Recorded ready) {
			transmit(observed.engine(), ready.command(), step.reason());
			return;
		}
		if (!(recorded instanceof CommandLedger.Refused)) {
			this.ledger.abandon(step.engine(), command.attempt());
		}
		LOG.info("command_not_recorded", "engine", step.engine(), "action", step.action(), "model", step.model(),
				"result", recorded);
	}

	private CommandLedger.RecordResult record(Lease lease, EngineCommand command, EngineObservation observed,
			Optional<EngineObservation> keeper) {
		EngineReport report = observed.report().orElseThrow();
		if (keeper.isEmpty()) {
			return this.ledger.record(lease, command, report, observed.requestedNanos());
		}
		long earlier = Math.min(observed.requestedNanos(), keeper.get().requestedNanos());
		return this.ledger.recordRemoval(lease, command, report, command.model(), keeper.get().report().orElseThrow(),
				earlier);
	}

	/**
	 * Sends outstanding commands again that have had no effect for a time. Blocks.
	 * @param lease the lease of the engine's group, not null
	 * @param observed the engine, not null
	 * @param engineLedger its ledger, not null
	 */
	void resend(Lease lease, EngineObservation observed, EngineLedger engineLedger) {
		for (LedgerEntry entry : engineLedger.entries()) {
			if (!entry.isOutstanding()) {
				this.sentNanos.remove(entry.id());
				continue;
			}
			long now = this.timer.nanoTime();
			long last = this.sentNanos.computeIfAbsent(entry.id(), (id) -> now);
			if (now - last < this.resendNanos) {
				continue;
			}
			if (this.ledger.resend(lease, engineLedger.engine(), entry) instanceof CommandLedger.Recorded ready) {
				transmit(observed.engine(), ready.command(), "sent again, no effect seen yet");
			}
		}
	}

	private void transmit(Engine engine, EngineCommand command, String reason) {
		this.sentNanos.put(command.attempt(), this.timer.nanoTime());
		Engine.CommandResult result = engine.send(command);
		LOG.info("command_sent", "engine", command.engine(), "action", command.action(), "model", command.model(),
				"token", command.token().value(), "id", command.attempt(), "result", result, "reason", reason);
		this.ledger.sent(command.engine(), command.attempt(), result);
	}

}
