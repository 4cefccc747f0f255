package org.celeryhill.planner;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.TimerService;
import org.celeryhill.placement.PlacementPlan;
import org.celeryhill.port.Engine;
import org.celeryhill.port.EngineCommand;
import org.celeryhill.port.EngineReport;
import org.celeryhill.state.AttemptIds;
import org.celeryhill.state.CommandLedgerStore;
import org.celeryhill.state.EngineLedger;
import org.celeryhill.state.Lease;
import org.celeryhill.state.LedgerEntry;

/**
 * Sends commands to engines. Each command is recorded in the ledger of its engine before
 * it is sent. Thread-safe.
 */
final class CommandSender {

	private static final EventLog LOG = EventLog.of(CommandSender.class);

	/** Command ledgers of the engines. */
	private final CommandLedgerStore ledger;

	private final TimerService timer;

	/**
	 * Time after which a command without visible effect is sent again, in nanoseconds.
	 */
	private final long resendNanos;

	/** Monotonic time at which this process last sent each command, in nanoseconds. */
	private final Map<AttemptId, Long> sentNanos = new ConcurrentHashMap<>();

	CommandSender(CommandLedgerStore ledger, TimerService timer, Duration resendAfter) {
		this.ledger = Objects.requireNonNull(ledger, "ledger");
		this.timer = Objects.requireNonNull(timer, "timer");
		this.resendNanos = resendAfter.toNanos();
	}

	/**
	 * Records a step of a plan as a command and sends it. Blocks.
	 * @param lease the lease of the engine's service, not null
	 * @param observed the engine with the report on which the plan is based, not null
	 * @param step the step to send, not null
	 * @param keeper the replica through which the model of an unload stays reachable,
	 * empty if none is required, not null
	 */
	void recordAndSend(Lease lease, EngineObservation observed, PlacementPlan.Step step, Optional<Keeper> keeper) {
		EngineCommand command = new EngineCommand(AttemptIds.random().get(), step.engine(), step.action(), step.model(),
				step.bytes(), lease.token());
		CommandLedgerStore.RecordResult recorded = recordInLedger(lease, command, observed, keeper);
		if (recorded instanceof CommandLedgerStore.Recorded ready) {
			sendRecorded(observed.engine(), ready.command(), step.reason());
			return;
		}
		if (!(recorded instanceof CommandLedgerStore.Refused)) {
			this.ledger.abandon(step.engine(), command.attempt());
		}
		LOG.info("command_not_recorded", "engine", step.engine(), "action", step.action(), "model", step.model(),
				"result", recorded);
	}

	private CommandLedgerStore.RecordResult recordInLedger(Lease lease, EngineCommand command,
			EngineObservation observed, Optional<Keeper> keeper) {
		EngineReport report = observed.report().orElseThrow();
		if (keeper.isEmpty()) {
			return this.ledger.record(lease, command, report, observed.requestedNanos());
		}
		EngineObservation engine = keeper.get().engine();
		long earlierRequestNanos = Math.min(observed.requestedNanos(), engine.requestedNanos());
		return this.ledger.recordReplicaRemoval(lease, command, report, keeper.get().model(),
				engine.report().orElseThrow(), earlierRequestNanos);
	}

	/**
	 * Sends outstanding commands again that have had no visible effect for the resend
	 * time. Blocks.
	 * @param lease the lease of the engine's service, not null
	 * @param observed the engine that receives the commands, not null
	 * @param engineLedger the command ledger of the engine, not null
	 */
	void resendOverdue(Lease lease, EngineObservation observed, EngineLedger engineLedger) {
		for (LedgerEntry entry : engineLedger.entries()) {
			if (!entry.isOutstanding()) {
				this.sentNanos.remove(entry.id());
				continue;
			}
			long now = this.timer.nanoTime();
			long lastSentNanos = this.sentNanos.computeIfAbsent(entry.id(), (id) -> now);
			if (now - lastSentNanos < this.resendNanos) {
				continue;
			}
			if (this.ledger.resend(lease, engineLedger.engine(), entry) instanceof CommandLedgerStore.Recorded ready) {
				sendRecorded(observed.engine(), ready.command(), "sent again, no effect seen yet");
			}
		}
	}

	private void sendRecorded(Engine engine, EngineCommand command, String reason) {
		this.sentNanos.put(command.attempt(), this.timer.nanoTime());
		Engine.CommandResult result = engine.send(command);
		LOG.info("command_sent", "engine", command.engine(), "action", command.action(), "model", command.model(),
				"token", command.token().value(), "id", command.attempt(), "result", result, "reason", reason);
		this.ledger.finishSend(command.engine(), command.attempt(), result);
	}

	/**
	 * Replica through which a model stays reachable.
	 *
	 * @param engine the engine that holds the replica, not null
	 * @param model the model of the replica, not null
	 */
	record Keeper(EngineObservation engine, ModelId model) {

	}

}
