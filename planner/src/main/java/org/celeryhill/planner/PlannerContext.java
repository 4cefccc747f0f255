package org.celeryhill.planner;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;

import io.reactivex.rxjava3.core.Scheduler;
import org.celeryhill.base.TimerService;
import org.celeryhill.state.CommandLedger;
import org.celeryhill.state.ConditionalWriter;
import org.celeryhill.state.LeaseStore;

/**
 * What the groups of a planner daemon share. Thread-safe.
 *
 * @param settings the settings, not null
 * @param timer the time, not null
 * @param writer the writer of rows, not null
 * @param leases the leases, not null
 * @param ledger the ledgers of the engines, not null
 * @param fleet the engines, not null
 * @param revisions the configuration, not null
 * @param demand the demand, not null
 * @param stops the planned stops, not null
 * @param workers the threads that talk to engines, not null
 * @param earlierSendsClosed whether the sendings of earlier processes of this host are closed
 */
record PlannerContext(PlannerSettings settings, TimerService timer, ConditionalWriter writer, LeaseStore leases,
		CommandLedger ledger, EngineFleet fleet, RevisionTracker revisions, DemandReader demand, PlannedStopTracker stops,
		Scheduler workers, AtomicBoolean earlierSendsClosed) {

	PlannerContext {
		Objects.requireNonNull(settings, "settings");
		Objects.requireNonNull(timer, "timer");
		Objects.requireNonNull(writer, "writer");
		Objects.requireNonNull(leases, "leases");
		Objects.requireNonNull(ledger, "ledger");
		Objects.requireNonNull(fleet, "fleet");
		Objects.requireNonNull(revisions, "revisions");
		Objects.requireNonNull(demand, "demand");
		Objects.requireNonNull(stops, "stops");
		Objects.requireNonNull(workers, "workers");
		Objects.requireNonNull(earlierSendsClosed, "earlierClosed");
	}

	/**
	 * Returns whether the sendings of earlier processes of this host are closed; closes
	 * them if not. Blocks at the first calls.
	 * @return false while the store is away
	 */
	boolean ensureEarlierSendsClosed() {
		if (!this.earlierSendsClosed.get()) {
			this.earlierSendsClosed.set(this.ledger.closeEarlierProcesses() instanceof CommandLedger.LoadedAll);
		}
		return this.earlierSendsClosed.get();
	}

}
