package org.celeryhill.planner;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;

import io.reactivex.rxjava3.core.Scheduler;
import org.celeryhill.base.TimerService;
import org.celeryhill.state.CommandLedgerStore;
import org.celeryhill.state.ConditionalWriter;
import org.celeryhill.state.LeaseStore;

/**
 * Components shared by the service planners of a planner daemon. Thread-safe.
 *
 * @param settings the settings of the daemon, not null
 * @param timer the source of time, not null
 * @param writer the writer of table rows, not null
 * @param leases the store of leases, not null
 * @param ledger the command ledgers of the engines, not null
 * @param fleet the engines with their latest reports, not null
 * @param revisions the configuration in effect, not null
 * @param demand the demand for each model, not null
 * @param stops the planned stops, not null
 * @param workers the threads that send requests to engines, not null
 * @param earlierSendsClosed whether the unfinished sends of earlier processes of this
 * host have been closed in the ledgers, not null
 */
record PlannerContext(PlannerSettings settings, TimerService timer, ConditionalWriter writer, LeaseStore leases,
		CommandLedgerStore ledger, EngineFleet fleet, RevisionTracker revisions, DemandReader demand,
		PlannedStopTracker stops, Scheduler workers, AtomicBoolean earlierSendsClosed) {

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
		Objects.requireNonNull(earlierSendsClosed, "earlierSendsClosed");
	}

	/**
	 * Closes the unfinished sends of earlier processes of this host in the ledgers,
	 * unless a previous call has done so. Blocks on the store until it has succeeded
	 * once.
	 * @return true if they are closed, false if the store is unavailable
	 */
	boolean ensureEarlierSendsClosed() {
		if (!this.earlierSendsClosed.get()) {
			this.earlierSendsClosed
				.set(this.ledger.closeSendersOfEarlierProcesses() instanceof CommandLedgerStore.LoadedAll);
		}
		return this.earlierSendsClosed.get();
	}

}
