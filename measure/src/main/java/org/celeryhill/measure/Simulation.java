package org.celeryhill.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.HostId;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.UsageTotals;
import org.celeryhill.config.ModelSpec;
import org.celeryhill.config.Revision;
import org.celeryhill.port.Engine;
import org.celeryhill.port.EngineReport;
import org.celeryhill.traffic.BackendView;

/**
 * Simulation of entry hosts, engines, plain servers and placement in virtual time. An
 * instance performs one run. Not thread-safe.
 */
final class Simulation {

	/** Nanoseconds in a millisecond. */
	private static final long NANOS_PER_MILLI = 1_000_000L;

	/** Period of load reports, in nanoseconds. */
	private static final long REPORT_PERIOD_NANOS = 500 * NANOS_PER_MILLI;

	/** Delay of load reports, in nanoseconds. */
	private static final long REPORT_LAG_NANOS = 250 * NANOS_PER_MILLI;

	/** Probability that a host misses a cache event. */
	private static final double CACHE_EVENT_LOSS_PROBABILITY = 0.1;

	/** Time after the last arrival in which running requests can end, in seconds. */
	private static final double DRAIN_SECONDS = 100;

	/** Simulated deployment. */
	final Deployment deployment;

	/** Configuration of the deployment. */
	final Revision revision;

	/** Events in virtual time. */
	final EventQueue events = new EventQueue();

	/** Routing and placement policy. */
	final Policy policy;

	/** Engines by position. */
	final List<SimulatedEngine> engines = new ArrayList<>();

	/** Demand that the planner gets. */
	final DemandMeter demand;

	/** Counts of violated invariants. */
	final Violations violations = new Violations();

	/** All jobs that have arrived. */
	final List<Job> jobs = new ArrayList<>();

	/** Number of model loads started until the end of the warm-up. */
	int warmUpLoads;

	/** Scenario with the demand and the failures. */
	private final Scenario scenario;

	/** Random generator for everything but the workload. */
	private final SplittableRandom random;

	/** Engines by id. */
	private final Map<BackendServerId, SimulatedEngine> enginesById = new HashMap<>();

	/** Plain servers by position. */
	private final List<SimulatedPlainServer> plainServers = new ArrayList<>();

	/** Plain servers by id. */
	private final Map<BackendServerId, SimulatedPlainServer> plainServersById = new HashMap<>();

	/** Entry hosts by position. */
	private final List<SimulatedEntryHost> hosts = new ArrayList<>();

	/** Latest report of each engine that has arrived. */
	private final Map<SimulatedEngine, EngineReport> reports = new HashMap<>();

	/** Base model of each adapter. */
	private final Map<ModelId, ModelId> bases = new HashMap<>();

	/** All models, without adapters. */
	private final List<ModelId> models = new ArrayList<>();

	/** Whether the table service is available. */
	private boolean isTableUp = true;

	/** Whether arrivals have ended. */
	private boolean areArrivalsClosed;

	Simulation(Deployment deployment, Scenario scenario, Policy policy, double load, long seed) {
		this.deployment = deployment;
		this.scenario = scenario;
		this.policy = policy;
		this.revision = deployment.revision();
		this.random = new SplittableRandom(seed * 31 + 7);
		for (int i = 0; i < deployment.organisations.size(); i++) {
			for (ModelSpec spec : deployment.createModelSpecs(i)) {
				spec.base()
					.ifPresentOrElse((base) -> this.bases.put(spec.id(), base), () -> this.models.add(spec.id()));
			}
		}
		this.demand = new DemandMeter(this.bases);
		addServers();
		addHosts(seed);
		StaticPlacement initial = new StaticPlacement(deployment);
		initial.install(this);
		schedulePeriodicTasks(policy.createPlacement(initial));
		new Workload(deployment, scenario, load, seed, this.events, this::handleArrival).start();
		scenario.scheduleFailures(this);
	}

	private void addServers() {
		SimulatedWeightStore store = new SimulatedWeightStore(this.deployment, this.random.split());
		for (int i = 0; i < this.deployment.engines; i++) {
			SimulatedEngine engine = new SimulatedEngine(BackendServerId.of("engine-" + i), Deployment.dataCentre(i),
					this.events, store);
			this.engines.add(engine);
			this.enginesById.put(engine.id, engine);
		}
		for (int i = 0; i < this.deployment.plainServers; i++) {
			SimulatedPlainServer plain = new SimulatedPlainServer(BackendServerId.of("plain-" + i),
					Deployment.dataCentre(i), this.events, this.random.split());
			this.plainServers.add(plain);
			this.plainServersById.put(plain.id, plain);
		}
	}

	private void addHosts(long seed) {
		for (int i = 0; i < this.deployment.hosts; i++) {
			DataCentre dataCentre = Deployment.dataCentre(i);
			SimulatedEntryHost host = new SimulatedEntryHost(i, dataCentre,
					this.policy.createController(HostId.of("host-" + i), dataCentre, seed * 1000 + i), this);
			host.controller.apply(this.revision, 0);
			this.hosts.add(host);
		}
	}

	private void schedulePeriodicTasks(PlacementPolicy placement) {
		for (int i = 0; i < this.engines.size(); i++) {
			SimulatedEngine engine = this.engines.get(i);
			this.events.scheduleEvery(i * REPORT_PERIOD_NANOS / this.engines.size(), REPORT_PERIOD_NANOS,
					() -> pollLoad(engine));
		}
		for (SimulatedPlainServer plain : this.plainServers) {
			this.events.scheduleEvery(0, REPORT_PERIOD_NANOS, () -> pollLoad(plain));
		}
		for (SimulatedEntryHost host : this.hosts) {
			this.events.scheduleEvery(host.position * NANOS_PER_MILLI, 20 * NANOS_PER_MILLI, host::dispatch);
			this.events.scheduleEvery(1000 * NANOS_PER_MILLI + host.position * 130 * NANOS_PER_MILLI,
					1000 * NANOS_PER_MILLI, () -> publishUsage(host));
		}
		this.events.scheduleEvery(1100 * NANOS_PER_MILLI, 1000 * NANOS_PER_MILLI, () -> placement.runRound(this));
		this.events.scheduleEvery(1000 * NANOS_PER_MILLI, 1000 * NANOS_PER_MILLI, this::checkModelsReachable);
		this.events.scheduleAfter((long) (Scenario.WARM_UP_SECONDS * 1e9), () -> this.warmUpLoads = countModelLoads());
	}

	private void pollLoad(SimulatedEngine engine) {
		Optional<EngineReport> report = engine.isAlive ? Optional.of(engine.createReport()) : Optional.empty();
		List<Engine.CacheEvent> cached = engine.drainCacheEvents();
		this.events.scheduleAfter(REPORT_LAG_NANOS, () -> {
			report.ifPresent((one) -> this.reports.put(engine, one));
			EngineReport latest = this.reports.get(engine);
			if (latest == null) {
				return;
			}
			BackendView view = new BackendView(engine.id, this.deployment.engineService, engine.dataCentre,
					Optional.of(latest), 0, 0, report.isPresent(), isListedAsLeaving(engine));
			for (SimulatedEntryHost host : this.hosts) {
				updateHost(host, view, cached);
			}
		});
	}

	private void updateHost(SimulatedEntryHost host, BackendView view, List<Engine.CacheEvent> cached) {
		if (!host.isAlive) {
			return;
		}
		host.controller.updateBackend(view, this.events.now());
		List<Engine.CacheEvent> seen = cached.stream()
			.filter((event) -> this.random.nextDouble() >= CACHE_EVENT_LOSS_PROBABILITY)
			.toList();
		host.controller.recordCacheEvents(view.id(), seen);
		host.dispatch();
	}

	private void pollLoad(SimulatedPlainServer plain) {
		int running = plain.running();
		boolean isAlive = plain.isAlive;
		this.events.scheduleAfter(REPORT_LAG_NANOS, () -> {
			BackendView view = new BackendView(plain.id, this.deployment.plainService, plain.dataCentre,
					Optional.empty(), running, Deployment.MAX_CALLS_PER_PLAIN_SERVER, isAlive, false);
			this.hosts.forEach((host) -> updateHost(host, view, List.of()));
		});
	}

	private void publishUsage(SimulatedEntryHost host) {
		if (!host.isAlive) {
			return;
		}
		UsageTotals totals = host.controller.nextUsageTotals(this.events.now());
		for (SimulatedEntryHost peer : this.hosts) {
			if (peer != host && peer.isAlive) {
				long delay = (200 + this.random.nextInt(600)) * NANOS_PER_MILLI;
				this.events.scheduleAfter(delay, () -> peer.controller.recordPeerUsage(totals, this.events.now()));
			}
		}
	}

	private void checkModelsReachable() {
		for (ModelId model : this.models) {
			boolean isReady = false;
			for (SimulatedEngine engine : this.engines) {
				EngineReport.Resident resident = engine.residents.get(model);
				isReady |= engine.isAlive && resident != null && resident.state() == EngineReport.ResidentState.READY;
			}
			if (!isReady) {
				this.violations.add("unreachable_model_seconds", 1);
			}
		}
	}

	private void handleArrival(Job job) {
		if (this.areArrivalsClosed) {
			return;
		}
		this.jobs.add(job);
		this.demand.arrived(job);
		submit(job);
	}

	/**
	 * Submits a job to a random host that runs and that the scenario allows.
	 * @param job the job to submit
	 */
	void submit(Job job) {
		List<SimulatedEntryHost> open = this.hosts.stream()
			.filter((host) -> host.isAlive
					&& this.scenario.isHostAllowed(job.organisation, host.position, this.hosts.size()))
			.toList();
		open.get(this.random.nextInt(open.size())).accept(job);
	}

	/**
	 * Performs the run and checks the invariants.
	 * @return the figures of the run
	 */
	Figures run() {
		this.events.runUntil((long) (this.scenario.seconds * 1e9));
		this.areArrivalsClosed = true;
		this.events.runUntil((long) ((this.scenario.seconds + DRAIN_SECONDS) * 1e9));
		this.jobs.forEach(this.violations::checkOutcome);
		long excess = this.engines.stream().mapToLong((engine) -> engine.overcommittedBytes).max().orElse(0);
		this.violations.add("overcommitted_bytes", excess);
		return Figures.of(this, this.scenario);
	}

	/**
	 * Returns the number of model loads started so far.
	 * @return the number of loads on all engines
	 */
	int countModelLoads() {
		return this.engines.stream().mapToInt((engine) -> engine.loadCount).sum();
	}

	SimulatedEngine engine(BackendServerId id) {
		return this.enginesById.get(id);
	}

	SimulatedPlainServer plainServer(BackendServerId id) {
		return this.plainServersById.get(id);
	}

	ModelId baseModel(ModelId model) {
		return this.bases.getOrDefault(model, model);
	}

	EngineReport lastReport(SimulatedEngine engine) {
		return this.reports.get(engine);
	}

	boolean isTableUp() {
		return this.isTableUp;
	}

	/**
	 * Returns whether an engine can be reached.
	 * @param engine the engine to check
	 * @return true if the engine runs
	 */
	boolean isReachable(SimulatedEngine engine) {
		return engine.isAlive;
	}

	/**
	 * Returns whether the host list, which is late, shows an engine as leaving.
	 * @param engine the engine to check
	 * @return true if draining started at least one host list lag ago
	 */
	boolean isListedAsLeaving(SimulatedEngine engine) {
		return engine.drainingSinceNanos >= 0
				&& this.events.now() - engine.drainingSinceNanos >= this.scenario.hostListLagNanos();
	}

	void scheduleEngineLoss(int position, double seconds) {
		this.events.scheduleAfter((long) (seconds * 1e9), this.engines.get(position)::kill);
	}

	void scheduleEngineRestart(int position, double seconds) {
		this.events.scheduleAfter((long) (seconds * 1e9), this.engines.get(position)::restart);
	}

	/**
	 * Schedules the drain of an engine, which stops as soon as it is idle and all of its
	 * models are ready on other engines.
	 * @param position the position of the engine
	 * @param seconds the time at which draining starts, in seconds
	 */
	void scheduleEngineDrain(int position, double seconds) {
		SimulatedEngine engine = this.engines.get(position);
		this.events.scheduleAfter((long) (seconds * 1e9), () -> engine.drainingSinceNanos = this.events.now());
		this.events.scheduleAfter((long) ((seconds + 10) * 1e9), () -> stopWhenIdle(engine));
	}

	private void stopWhenIdle(SimulatedEngine engine) {
		boolean isNeeded = engine.residents.keySet()
			.stream()
			.anyMatch((model) -> this.engines.stream()
				.noneMatch((other) -> other != engine && other.isAlive && other.drainingSinceNanos < 0
						&& other.residents.containsKey(model)
						&& other.residents.get(model).state() == EngineReport.ResidentState.READY));
		if (engine.isIdle() && !isNeeded) {
			engine.kill();
		}
		else {
			this.events.scheduleAfter(1000 * NANOS_PER_MILLI, () -> stopWhenIdle(engine));
		}
	}

	void scheduleTableOutage(double from, double until) {
		this.events.scheduleAfter((long) (from * 1e9), () -> this.isTableUp = false);
		this.events.scheduleAfter((long) (until * 1e9), () -> this.isTableUp = true);
	}

	/**
	 * Schedules the loss of a data centre with its servers and entry hosts. The servers
	 * restart empty; the hosts are not replaced.
	 * @param number the number of the data centre
	 * @param from the time of the loss, in seconds
	 * @param until the time at which the servers restart, in seconds
	 */
	void scheduleDataCentreLoss(int number, double from, double until) {
		DataCentre lost = Deployment.dataCentre(number);
		this.events.scheduleAfter((long) (from * 1e9), () -> {
			this.hosts.stream().filter((host) -> host.dataCentre.equals(lost)).forEach(SimulatedEntryHost::kill);
			this.engines.stream().filter((one) -> one.dataCentre.equals(lost)).forEach(SimulatedEngine::kill);
			this.plainServers.stream()
				.filter((one) -> one.dataCentre.equals(lost))
				.forEach((one) -> one.isAlive = false);
		});
		this.events.scheduleAfter((long) (until * 1e9), () -> {
			this.engines.stream().filter((one) -> one.dataCentre.equals(lost)).forEach(SimulatedEngine::restart);
			this.plainServers.stream()
				.filter((one) -> one.dataCentre.equals(lost))
				.forEach((one) -> one.isAlive = true);
		});
	}

}
