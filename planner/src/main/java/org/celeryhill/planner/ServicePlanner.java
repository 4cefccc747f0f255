package org.celeryhill.planner;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.HostId;
import org.celeryhill.base.ServiceId;
import org.celeryhill.placement.PlacementPlan;
import org.celeryhill.placement.PlacementPlanner;
import org.celeryhill.placement.PlanInput;
import org.celeryhill.placement.PlanInput.EngineState;
import org.celeryhill.placement.ReplicaPlacementPlanner;
import org.celeryhill.state.CommandLedgerStore;
import org.celeryhill.state.EngineLedger;
import org.celeryhill.state.Lease;
import org.celeryhill.state.LeaseName;
import org.celeryhill.state.LeaseStore;

/**
 * Plans the placement of models on the engines of one service while this process holds
 * the lease of the service. Rounds run one at a time; other threads only read the status.
 * A round renews the lease, reads reports and ledgers, settles commands, computes a plan,
 * and records and sends the commands of the plan.
 */
final class ServicePlanner {

	private static final EventLog LOG = EventLog.of(ServicePlanner.class);

	/** Service whose engines are planned. */
	private final ServiceId service;

	/** Components shared by the planners of all services. */
	private final PlannerContext context;

	private final CommandSender commandSender;

	private final ReasonWriter reasonWriter;

	/**
	 * Computes the plans. Replaced at each lease grant, so that no state from an earlier
	 * grant is used.
	 */
	private PlacementPlanner planner = ReplicaPlacementPlanner.create();

	/** Lease of the service, empty while this process does not hold it. */
	private volatile Optional<Lease> lease = Optional.empty();

	/** Latest plan, shown in the state dump. */
	private volatile PlacementPlan plan = new PlacementPlan(List.of(), List.of(), Map.of());

	/** Number of attempts to acquire the lease. */
	private long acquireAttempts;

	/** Monotonic time of the latest attempt to acquire the lease, in nanoseconds. */
	private long latestAcquireNanos;

	/** Number of rounds in which a plan was computed. */
	private volatile long rounds;

	ServicePlanner(ServiceId service, PlannerContext context) {
		this.service = Objects.requireNonNull(service, "service");
		this.context = Objects.requireNonNull(context, "context");
		this.commandSender = new CommandSender(context.ledger(), context.timer(), context.settings().resendAfter);
		this.reasonWriter = new ReasonWriter(context.writer(), service);
	}

	/** Runs one round if this process holds the lease or can acquire it. Blocks. */
	void runRound() {
		if (!acquireOrRenewLease()) {
			return;
		}
		this.context.fleet().refreshReports(this.service);
		Optional<Map<BackendServerId, EngineLedger>> ledgers = readAndSettleLedgers();
		if (ledgers.isEmpty() || !this.context.ensureEarlierSendsClosed() || !isLeaseUsable()) {
			return;
		}
		Lease held = this.lease.orElseThrow();
		Map<BackendServerId, EngineObservation> engines = new HashMap<>();
		Map<BackendServerId, EngineState> states = new LinkedHashMap<>();
		for (EngineObservation observed : this.context.fleet().engines(this.service)) {
			EngineLedger ledger = ledgers.get()
				.getOrDefault(observed.entry().id(), EngineLedger.empty(observed.entry().id()));
			state(observed, ledger).ifPresent((state) -> {
				states.put(state.id(), state);
				engines.put(state.id(), observed);
			});
		}
		computePlan(List.copyOf(states.values()));
		sendCommands(held, engines, states, ledgers.get());
		this.reasonWriter.write(this.plan, this.context.timer().nanoTime());
	}

	private boolean acquireOrRenewLease() {
		LeaseStore leases = this.context.leases();
		if (this.lease.isEmpty()) {
			if (!isAcquireDue()) {
				return false;
			}
			if (leases.acquire(LeaseName.of(this.service)) instanceof LeaseStore.Granted granted) {
				this.lease = Optional.of(granted.lease());
				this.planner = ReplicaPlacementPlanner.create();
				LOG.info("lease_granted", "service", this.service, "token", granted.lease().token().value());
			}
			return isLeaseUsable();
		}
		Lease held = this.lease.get();
		if (held.isRenewalDue(this.context.timer().nanoTime())) {
			LeaseStore.RenewResult result = leases.renew(held);
			if (result instanceof LeaseStore.Granted granted) {
				this.lease = Optional.of(granted.lease());
			}
			else if (result instanceof LeaseStore.Lost) {
				LOG.info("lease_lost", "service", this.service, "token", held.token().value());
				this.lease = Optional.empty();
			}
		}
		if (!isLeaseUsable() && this.lease.isPresent()) {
			LOG.warn("lease_expired", "service", this.service, "token", held.token().value());
			this.lease = Optional.empty();
		}
		return isLeaseUsable();
	}

	// A planner without the lease tries to acquire it once per third of the lease
	// duration, since each attempt reads the table service and all planners make
	// attempts.
	private boolean isAcquireDue() {
		long now = this.context.timer().nanoTime();
		boolean isDue = this.acquireAttempts == 0
				|| now - this.latestAcquireNanos >= this.context.settings().leaseDuration.toNanos() / 3;
		if (isDue) {
			this.acquireAttempts++;
			this.latestAcquireNanos = now;
		}
		return isDue;
	}

	private boolean isLeaseUsable() {
		return this.lease.filter((held) -> held.isUsable(this.context.timer().nanoTime())).isPresent();
	}

	private Optional<Map<BackendServerId, EngineLedger>> readAndSettleLedgers() {
		CommandLedgerStore ledger = this.context.ledger();
		if (!(ledger.loadAll() instanceof CommandLedgerStore.LoadedAll loaded)) {
			return Optional.empty();
		}
		Map<BackendServerId, EngineLedger> ledgers = new HashMap<>(loaded.ledgers());
		for (EngineObservation observed : this.context.fleet().engines(this.service)) {
			EngineLedger engineLedger = ledgers.get(observed.entry().id());
			if (engineLedger == null || engineLedger.entries().isEmpty() || observed.report().isEmpty()) {
				continue;
			}
			closeSendersOfGoneHosts(engineLedger);
			CommandLedgerStore.ChangeResult changed = ledger.settle(observed.report().get(), observed.requestedNanos());
			if (!(changed instanceof CommandLedgerStore.Changed settled)) {
				return Optional.empty();
			}
			ledgers.put(observed.entry().id(), settled.ledger());
		}
		return Optional.of(ledgers);
	}

	private void closeSendersOfGoneHosts(EngineLedger ledger) {
		Set<HostId> senders = ledger.entries()
			.stream()
			.flatMap((entry) -> entry.openSenders().stream())
			.map((sender) -> sender.host())
			.collect(Collectors.toSet());
		for (HostId host : senders) {
			if (this.context.fleet().isHostGone(host, this.context.settings().hostGoneAfter)) {
				this.context.ledger().closeSenders(ledger.engine(), host);
			}
		}
	}

	private Optional<EngineState> state(EngineObservation observed, EngineLedger ledger) {
		if (observed.report().isEmpty() || ledger.isOlder(observed.report().get())) {
			return Optional.empty();
		}
		long now = this.context.timer().nanoTime();
		boolean isLeaving = observed.isLeaving() || this.context.stops().isStopping(observed.entry());
		boolean isSuspect = observed.isSuspect(now, this.context.settings().suspectAfter.toNanos());
		long committedBytes = Math.max(ledger.committedBytes(observed.report().get()),
				ledger.committedBytesAfterRestart(observed.report().get()));
		return Optional
			.of(new EngineState(observed.entry().id(), observed.entry().dataCentre(), observed.report().get(),
					committedBytes, ledger.outstandingLoads(), ledger.pendingUnloads(), isLeaving, isSuspect));
	}

	private void computePlan(List<EngineState> states) {
		PlanInput input = new PlanInput(this.service, this.context.revisions().revision(), states,
				this.context.demand().demand(), this.context.timer().nanoTime(), 1);
		this.plan = this.planner.plan(input);
		this.rounds++;
	}

	private void sendCommands(Lease held, Map<BackendServerId, EngineObservation> engines,
			Map<BackendServerId, EngineState> states, Map<BackendServerId, EngineLedger> ledgers) {
		KeeperSelector keeperSelector = new KeeperSelector(states, this.context.revisions().revision(), this.service,
				this.plan.steps());
		Map<BackendServerId, List<PlacementPlan.Step>> stepsByEngine = this.plan.steps()
			.stream()
			.collect(Collectors.groupingBy(PlacementPlan.Step::engine, LinkedHashMap::new, Collectors.toList()));
		Set<BackendServerId> targets = new TreeSet<>(stepsByEngine.keySet());
		targets.addAll(ledgers.keySet());
		targets.retainAll(engines.keySet());
		Scheduler workers = this.context.workers();
		Flowable.fromIterable(targets).flatMapCompletable((id) -> Completable.fromAction(() -> {
			stepsByEngine.getOrDefault(id, List.of()).forEach((step) -> sendStep(held, engines, keeperSelector, step));
			Optional.ofNullable(ledgers.get(id))
				.ifPresent((ledger) -> this.commandSender.resendOverdue(held, engines.get(id), ledger));
		}).subscribeOn(workers), true, this.context.settings().workerThreads).blockingAwait();
	}

	private void sendStep(Lease held, Map<BackendServerId, EngineObservation> engines, KeeperSelector keeperSelector,
			PlacementPlan.Step step) {
		Optional<KeeperSelector.Replica> keeper = (step.action().isUnload()) ? keeperSelector.selectKeeper(step)
				: Optional.empty();
		if (keeperSelector.isKeeperRequired(step) && keeper.isEmpty()) {
			LOG.warn("removal_without_keeper", "engine", step.engine(), "model", step.model());
			return;
		}
		this.commandSender.recordAndSend(held, engines.get(step.engine()), step,
				keeper.map((replica) -> new CommandSender.Keeper(engines.get(replica.engine()), replica.model())));
	}

	/** Releases the lease, so that another planner can acquire it at once. Blocks. */
	void releaseLease() {
		this.lease.ifPresent((held) -> this.context.leases().release(held));
		this.lease = Optional.empty();
	}

	boolean isLeaseHolder() {
		return isLeaseUsable();
	}

	Map<String, Object> dumpState() {
		Map<String, Object> dump = new LinkedHashMap<>();
		dump.put("service", this.service.value());
		dump.put("holder", isLeaseHolder());
		dump.put("fencing_token", this.lease.map((held) -> held.token().value()).orElse(0L));
		dump.put("rounds", this.rounds);
		dump.put("steps", this.plan.steps().stream().map(Object::toString).toList());
		dump.put("findings", this.plan.findings().stream().map(Object::toString).toList());
		return dump;
	}

}
