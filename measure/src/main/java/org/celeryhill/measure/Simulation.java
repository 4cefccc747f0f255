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
 * One run: entry hosts, engines, plain servers and placement in virtual time. Not
 * thread-safe.
 */
final class Simulation {

	/** Nanoseconds in a millisecond. */
	private static final long MILLI = 1_000_000L;

	/** Period of reports, in nanoseconds. */
	private static final long REPORT_PERIOD = 500 * MILLI;

	/** Lag of reports, in nanoseconds. */
	private static final long REPORT_LAG = 250 * MILLI;

	/** Part of the cache events that each host misses. */
	private static final double CACHE_GAP = 0.1;

	/** Time after the arrivals for running requests to end, in seconds. */
	private static final double DRAIN = 100;

	/** Deployment. */
	final Deployment deployment;

	/** Configuration. */
	final Revision revision;

	/** Virtual time. */
	final EventQueue events = new EventQueue();

	/** Policy. */
	final Policy policy;

	/** Engines. */
	final List<EngineModel> engines = new ArrayList<>();

	/** Demand as seen by the planner. */
	final DemandMeter demand;

	/** Broken invariants. */
	final Violations violations = new Violations();

	/** All jobs. */
	final List<Job> jobs = new ArrayList<>();

	/** Model loads until the end of the warm-up. */
	int warmUpLoads;

	/** Scenario. */
	private final Scenario scenario;

	/** Source of random choices outside of the workload. */
	private final SplittableRandom random;

	/** Engines by id. */
	private final Map<BackendServerId, EngineModel> enginesById = new HashMap<>();

	/** Plain servers. */
	private final List<PlainModel> plains = new ArrayList<>();

	/** Plain servers by id. */
	private final Map<BackendServerId, PlainModel> plainsById = new HashMap<>();

	/** Entry hosts. */
	private final List<EntryHost> hosts = new ArrayList<>();

	/** Latest reports that have arrived. */
	private final Map<EngineModel, EngineReport> reports = new HashMap<>();

	/** Base models by adapter. */
	private final Map<ModelId, ModelId> bases = new HashMap<>();

	/** Listed models. */
	private final List<ModelId> models = new ArrayList<>();

	/** Whether the table service answers. */
	private boolean isTableUp = true;

	/** Whether arrivals have ended. */
	private boolean isOver;

	Simulation(Deployment deployment, Scenario scenario, Policy policy, double load, long seed) {
		this.deployment = deployment;
		this.scenario = scenario;
		this.policy = policy;
		this.revision = deployment.revision();
		this.random = new SplittableRandom(seed * 31 + 7);
		for (int i = 0; i < deployment.organisations.size(); i++) {
			for (ModelSpec spec : deployment.catalogue(i)) {
				spec.base()
					.ifPresentOrElse((base) -> this.bases.put(spec.id(), base), () -> this.models.add(spec.id()));
			}
		}
		this.demand = new DemandMeter(this.bases);
		addServers();
		addHosts(seed);
		StaticPlacement initial = new StaticPlacement(deployment);
		initial.install(this);
		scheduleRounds(policy.placement(initial));
		new Workload(deployment, scenario, load, seed, this.events, this::arrive).start();
		scenario.schedule(this);
	}

	private void addServers() {
		WeightStoreModel store = new WeightStoreModel(this.deployment, this.random.split());
		for (int i = 0; i < this.deployment.engines; i++) {
			EngineModel engine = new EngineModel(BackendServerId.of("engine-" + i), Deployment.dataCentre(i),
					this.events, store);
			this.engines.add(engine);
			this.enginesById.put(engine.id, engine);
		}
		for (int i = 0; i < this.deployment.plainServers; i++) {
			PlainModel plain = new PlainModel(BackendServerId.of("plain-" + i), Deployment.dataCentre(i), this.events,
					this.random.split());
			this.plains.add(plain);
			this.plainsById.put(plain.id, plain);
		}
	}

	private void addHosts(long seed) {
		for (int i = 0; i < this.deployment.hosts; i++) {
			DataCentre dataCentre = Deployment.dataCentre(i);
			EntryHost host = new EntryHost(i, dataCentre,
					this.policy.controller(HostId.of("host-" + i), dataCentre, seed * 1000 + i), this);
			host.controller.apply(this.revision, 0);
			this.hosts.add(host);
		}
	}

	private void scheduleRounds(PlacementPolicy placement) {
		for (int i = 0; i < this.engines.size(); i++) {
			EngineModel engine = this.engines.get(i);
			this.events.every(i * REPORT_PERIOD / this.engines.size(), REPORT_PERIOD, () -> poll(engine));
		}
		for (PlainModel plain : this.plains) {
			this.events.every(0, REPORT_PERIOD, () -> poll(plain));
		}
		for (EntryHost host : this.hosts) {
			this.events.every(host.position * MILLI, 20 * MILLI, host::dispatch);
			this.events.every(1000 * MILLI + host.position * 130 * MILLI, 1000 * MILLI, () -> publish(host));
		}
		this.events.every(1100 * MILLI, 1000 * MILLI, () -> placement.round(this));
		this.events.every(1000 * MILLI, 1000 * MILLI, this::checkReachable);
		this.events.after((long) (Scenario.WARM_UP * 1e9), () -> this.warmUpLoads = loads());
	}

	private void poll(EngineModel engine) {
		Optional<EngineReport> report = engine.isAlive ? Optional.of(engine.report()) : Optional.empty();
		List<Engine.CacheEvent> cached = engine.takeCacheEvents();
		this.events.after(REPORT_LAG, () -> {
			report.ifPresent((one) -> this.reports.put(engine, one));
			EngineReport latest = this.reports.get(engine);
			if (latest == null) {
				return;
			}
			BackendView view = new BackendView(engine.id, this.deployment.engineService, engine.dataCentre,
					Optional.of(latest), 0, 0, report.isPresent(), isListedAsLeaving(engine));
			for (EntryHost host : this.hosts) {
				tell(host, view, cached);
			}
		});
	}

	private void tell(EntryHost host, BackendView view, List<Engine.CacheEvent> cached) {
		if (!host.isAlive) {
			return;
		}
		host.controller.updateBackend(view, this.events.now());
		List<Engine.CacheEvent> seen = cached.stream()
			.filter((event) -> this.random.nextDouble() >= CACHE_GAP)
			.toList();
		host.controller.recordCacheEvents(view.id(), seen);
		host.dispatch();
	}

	private void poll(PlainModel plain) {
		int running = plain.running();
		boolean isAlive = plain.isAlive;
		this.events.after(REPORT_LAG, () -> {
			BackendView view = new BackendView(plain.id, this.deployment.plainService, plain.dataCentre,
					Optional.empty(), running, Deployment.PLAIN_CAPACITY, isAlive, false);
			this.hosts.forEach((host) -> tell(host, view, List.of()));
		});
	}

	private void publish(EntryHost host) {
		if (!host.isAlive) {
			return;
		}
		UsageTotals totals = host.controller.nextUsageTotals(this.events.now());
		for (EntryHost peer : this.hosts) {
			if (peer != host && peer.isAlive) {
				long delay = (200 + this.random.nextInt(600)) * MILLI;
				this.events.after(delay, () -> peer.controller.recordPeerUsage(totals, this.events.now()));
			}
		}
	}

	private void checkReachable() {
		for (ModelId model : this.models) {
			boolean isReady = false;
			for (EngineModel engine : this.engines) {
				EngineReport.Resident resident = engine.residents.get(model);
				isReady |= engine.isAlive && resident != null && resident.state() == EngineReport.ResidentState.READY;
			}
			if (!isReady) {
				this.violations.add("unreachable_model_seconds", 1);
			}
		}
	}

	private void arrive(Job job) {
		if (this.isOver) {
			return;
		}
		this.jobs.add(job);
		this.demand.arrived(job);
		enter(job);
	}

	/**
	 * Sends a job in through a random host.
	 * @param job the job
	 */
	void enter(Job job) {
		List<EntryHost> open = this.hosts.stream()
			.filter((host) -> host.isAlive
					&& this.scenario.isHostAllowed(job.organisation, host.position, this.hosts.size()))
			.toList();
		open.get(this.random.nextInt(open.size())).accept(job);
	}

	/**
	 * Runs all of it and checks the invariants.
	 * @return the figures
	 */
	Figures run() {
		this.events.runUntil((long) (this.scenario.seconds * 1e9));
		this.isOver = true;
		this.events.runUntil((long) ((this.scenario.seconds + DRAIN) * 1e9));
		this.jobs.forEach(this.violations::checkEnd);
		long excess = this.engines.stream().mapToLong((engine) -> engine.overcommittedBytes).max().orElse(0);
		this.violations.add("overcommitted_bytes", excess);
		return Figures.of(this, this.scenario);
	}

	/**
	 * Returns the model loads begun so far.
	 * @return the number
	 */
	int loads() {
		return this.engines.stream().mapToInt((engine) -> engine.loads).sum();
	}

	EngineModel engine(BackendServerId id) {
		return this.enginesById.get(id);
	}

	PlainModel plain(BackendServerId id) {
		return this.plainsById.get(id);
	}

	ModelId weights(ModelId model) {
		return this.bases.getOrDefault(model, model);
	}

	EngineReport lastReport(EngineModel engine) {
		return this.reports.get(engine);
	}

	boolean isTableUp() {
		return this.isTableUp;
	}

	/**
	 * Returns whether an engine answered the latest question.
	 * @param engine the engine
	 * @return true if so
	 */
	boolean isAnswering(EngineModel engine) {
		return engine.isAlive;
	}

	/**
	 * Returns whether the lagging host list shows an engine as leaving.
	 * @param engine the engine
	 * @return true if so
	 */
	boolean isListedAsLeaving(EngineModel engine) {
		return engine.leavingSince >= 0 && this.events.now() - engine.leavingSince >= this.scenario.hostListLag();
	}

	void killEngine(int position, double seconds) {
		this.events.after((long) (seconds * 1e9), this.engines.get(position)::kill);
	}

	void restartEngine(int position, double seconds) {
		this.events.after((long) (seconds * 1e9), this.engines.get(position)::restart);
	}

	/**
	 * Drains an engine and stops it when it is idle and its models are elsewhere.
	 * @param position the engine
	 * @param seconds when it begins to drain
	 */
	void drainEngine(int position, double seconds) {
		EngineModel engine = this.engines.get(position);
		this.events.after((long) (seconds * 1e9), () -> engine.leavingSince = this.events.now());
		this.events.after((long) ((seconds + 10) * 1e9), () -> stopWhenIdle(engine));
	}

	private void stopWhenIdle(EngineModel engine) {
		boolean isNeeded = engine.residents.keySet()
			.stream()
			.anyMatch((model) -> this.engines.stream()
				.noneMatch((other) -> other != engine && other.isAlive && other.leavingSince < 0
						&& other.residents.containsKey(model)
						&& other.residents.get(model).state() == EngineReport.ResidentState.READY));
		if (engine.isIdle() && !isNeeded) {
			engine.kill();
		}
		else {
			this.events.after(1000 * MILLI, () -> stopWhenIdle(engine));
		}
	}

	void tableDown(double from, double until) {
		this.events.after((long) (from * 1e9), () -> this.isTableUp = false);
		this.events.after((long) (until * 1e9), () -> this.isTableUp = true);
	}

	/**
	 * Loses a data centre with its servers and entry hosts; servers come back empty, the
	 * hosts are not replaced.
	 * @param number the data centre
	 * @param from when it is lost, in seconds
	 * @param until when the servers are back, in seconds
	 */
	void killDataCentre(int number, double from, double until) {
		DataCentre lost = Deployment.dataCentre(number);
		this.events.after((long) (from * 1e9), () -> {
			this.hosts.stream().filter((host) -> host.dataCentre.equals(lost)).forEach(EntryHost::kill);
			this.engines.stream().filter((one) -> one.dataCentre.equals(lost)).forEach(EngineModel::kill);
			this.plains.stream().filter((one) -> one.dataCentre.equals(lost)).forEach((one) -> one.isAlive = false);
		});
		this.events.after((long) (until * 1e9), () -> {
			this.engines.stream().filter((one) -> one.dataCentre.equals(lost)).forEach(EngineModel::restart);
			this.plains.stream().filter((one) -> one.dataCentre.equals(lost)).forEach((one) -> one.isAlive = true);
		});
	}

}
