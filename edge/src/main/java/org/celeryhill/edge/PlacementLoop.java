package org.celeryhill.edge;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.ServiceId;
import org.celeryhill.forward.EngineProfile;
import org.celeryhill.forward.Forwarder;
import org.celeryhill.forward.RequestMetadata;
import org.celeryhill.forward.RoutingTable;
import org.celeryhill.forward.ServerEntry;
import org.celeryhill.forward.ServiceProfile;
import org.celeryhill.placement.SwapPlanner;
import org.celeryhill.platform.PlatformEngineClient;

/**
 * Places models and adapters on engines while this host holds the lease. Must be used on
 * the event loop.
 */
final class PlacementLoop {

	private static final EventLog LOG = EventLog.of(PlacementLoop.class);

	private static final long PLAN_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

	/** Part of the allowed loads that is used; the rest is left for late commands. */
	private static final double LOAD_PART = 0.6;

	/** Demand moves on and comes back within minutes. */
	private static final double PEAK_MEMORY_NANOS = 120e9;

	/** A copy of a command from before a restart may arrive for this long. */
	private static final long LATE_COMMAND_NANOS = TimeUnit.SECONDS.toNanos(13);

	private final Map<BackendServerId, EngineCommander> commanders = new HashMap<>();

	private final Map<BackendServerId, Long> incarnations = new HashMap<>();

	private final Map<BackendServerId, Long> restarts = new HashMap<>();

	private final Map<DemandMeter.Key, Double> peaks = new HashMap<>();

	private final Map<DemandMeter.Key, Long> unservedSince = new HashMap<>();

	private final Deque<Long> coldLoads = new ArrayDeque<>();

	private final EventLoop loop;

	private final Forwarder forwarder;

	private final PlatformEngineClient engines;

	private final Leadership leadership;

	private final EdgeMetrics metrics;

	private final EdgeSettings settings;

	private final Supplier<Map<DemandMeter.Key, DemandMeter.Rate>> demand;

	private long lastPlanNanos = System.nanoTime();

	private boolean wasHolder;

	PlacementLoop(EventLoop loop, Forwarder forwarder, PlatformEngineClient engines, Leadership leadership,
			EdgeMetrics metrics, EdgeSettings settings, Supplier<Map<DemandMeter.Key, DemandMeter.Rate>> demand) {
		this.loop = loop;
		this.forwarder = forwarder;
		this.engines = engines;
		this.leadership = leadership;
		this.metrics = metrics;
		this.settings = settings;
		this.demand = demand;
	}

	// Follows the engines, and plans and sends commands while this host may.
	void tick() {
		boolean isHolder = this.leadership.commandLease().isPresent();
		if (isHolder != this.wasHolder) {
			this.wasHolder = isHolder;
			this.commanders.clear();
			LOG.info("placement_active", "active", isHolder);
		}
		follow(isHolder);
		if (!isHolder) {
			return;
		}
		this.commanders.values().forEach(EngineCommander::pump);
		long now = System.nanoTime();
		if (now - this.lastPlanNanos >= PLAN_PERIOD_NANOS) {
			this.lastPlanNanos = now;
			this.forwarder.table().ifPresent(this::plan);
		}
	}

	// Follows restarts on each host, as the next holder has to know of them.
	private void follow(boolean isHolder) {
		Optional<RoutingTable> table = this.forwarder.table();
		Set<BackendServerId> present = new HashSet<>();
		for (ServerEntry entry : this.forwarder.directory().entries()) {
			Optional<EngineProfile> profile = table.flatMap((one) -> one.service(entry.service()))
				.flatMap(ServiceProfile::engine);
			if (profile.isEmpty()) {
				continue;
			}
			present.add(entry.id());
			followLife(entry);
			if (isHolder) {
				command(entry, profile.get());
			}
		}
		this.commanders.keySet().retainAll(present);
	}

	private void followLife(ServerEntry entry) {
		Long before = this.incarnations.put(entry.id(), entry.incarnation());
		if (before != null && before != entry.incarnation()) {
			this.restarts.put(entry.id(), System.nanoTime());
			this.commanders.remove(entry.id());
		}
	}

	private void command(ServerEntry entry, EngineProfile profile) {
		EngineCommander commander = this.commanders.get(entry.id());
		if (commander == null) {
			this.commanders.put(entry.id(), new EngineCommander(this.loop, this.engines, this.leadership, this.metrics,
					this.settings.hostId, entry, profile));
		}
		else {
			commander.update(entry, profile);
		}
	}

	private void plan(RoutingTable table) {
		for (ServiceProfile service : table.services()) {
			service.engine().ifPresent((profile) -> plan(service.id(), profile));
		}
	}

	private void plan(ServiceId service, EngineProfile profile) {
		Map<DemandMeter.Key, DemandMeter.Rate> rates = this.demand.get();
		Map<ModelId, Long> sizes = new HashMap<>();
		List<SwapPlanner.ModelInput> models = new ArrayList<>();
		for (EngineProfile.Model model : profile.models()) {
			DemandMeter.Rate rate = rates.getOrDefault(new DemandMeter.Key(service, model.id()),
					new DemandMeter.Rate(0, 0));
			sizes.put(model.id(), model.bytes());
			models.add(new SwapPlanner.ModelInput(model.id(), model.bytes(), rate.valuePerSecond(),
					rate.latePerSecond(), unservedSeconds(service, model.id(), rate), peak(service, model.id(), rate),
					model.diskLoadTime().toMillis() / 1e3, model.coldLoadTime().toMillis() / 1e3));
		}
		List<SwapPlanner.EngineInput> inputs = new ArrayList<>();
		for (ServerEntry entry : this.forwarder.directory().entries()) {
			if (entry.service().equals(service) && this.commanders.containsKey(entry.id())) {
				inputs.add(input(entry, this.commanders.get(entry.id()), sizes));
			}
		}
		for (SwapPlanner.Step step : SwapPlanner.plan(inputs, models, allowedLoads(profile))) {
			carryOut(step);
		}
	}

	private double peak(ServiceId service, ModelId model, DemandMeter.Rate rate) {
		double faded = Math.exp(-PLAN_PERIOD_NANOS / PEAK_MEMORY_NANOS);
		return this.peaks.merge(new DemandMeter.Key(service, model), rate.valuePerSecond(),
				(before, now) -> Math.max(before * faded, now));
	}

	private double unservedSeconds(ServiceId service, ModelId model, DemandMeter.Rate rate) {
		DemandMeter.Key key = new DemandMeter.Key(service, model);
		boolean isServed = rate.valuePerSecond() <= 0
				|| this.commanders.values().stream().anyMatch((one) -> one.residents().contains(model));
		if (isServed) {
			this.unservedSince.remove(key);
			return 0;
		}
		return (System.nanoTime() - this.unservedSince.computeIfAbsent(key, (one) -> System.nanoTime())) / 1e9;
	}

	private SwapPlanner.EngineInput input(ServerEntry entry, EngineCommander commander, Map<ModelId, Long> sizes) {
		Map<ModelId, Long> residents = new HashMap<>();
		commander.expectedResidents().forEach((model) -> residents.put(model, sizes.getOrDefault(model, 0L)));
		Set<ModelId> near = new HashSet<>(entry.modelsCachedInMemory());
		near.addAll(entry.modelsCachedOnDisk());
		long reserve = 0;
		Long restarted = this.restarts.get(entry.id());
		if (restarted != null && System.nanoTime() - restarted < LATE_COMMAND_NANOS) {
			reserve = sizes.values().stream().mapToLong(Long::longValue).max().orElse(0);
		}
		return new SwapPlanner.EngineInput(entry.id(), commander.freeBytes() - reserve, residents,
				commander.removable(), commander.arriving(), near, commander.isOpen() && !entry.isDraining(),
				!entry.isDraining());
	}

	private int allowedLoads(EngineProfile profile) {
		long window = (long) (this.settings.loadWindowSeconds * 1e9);
		long now = System.nanoTime();
		while (!this.coldLoads.isEmpty() && now - this.coldLoads.peekFirst() > window) {
			this.coldLoads.pollFirst();
		}
		int most = (int) Math.max(1, profile.loadsPerSecond() * this.settings.loadWindowSeconds * LOAD_PART);
		return most - this.coldLoads.size();
	}

	private void carryOut(SwapPlanner.Step step) {
		EngineCommander commander = this.commanders.get(step.engine());
		String reason = String.format(java.util.Locale.ROOT, "gain_%.3f", step.gain());
		if (step.isCold()) {
			this.coldLoads.addLast(System.nanoTime());
		}
		if (step.unload().isPresent()) {
			commander.swap(step.unload().get(), step.load(), step.isCold(), reason);
		}
		else {
			commander.load(step.load(), step.isCold(), reason);
		}
	}

	// Loads an adapter at an engine.
	void loadAdapter(BackendServerId engine, RequestMetadata.ModelName name, Consumer<Boolean> done) {
		EngineCommander commander = this.commanders.get(engine);
		if (commander == null) {
			done.accept(false);
		}
		else {
			commander.loadAdapter(name, done);
		}
	}

	// Notes that requests use an adapter at an engine.
	void used(BackendServerId engine, ModelId adapter) {
		Optional.ofNullable(this.commanders.get(engine)).ifPresent((commander) -> commander.used(adapter));
	}

	// Returns the time until each model that is being loaded can be used.
	Map<ModelId, Duration> arriving() {
		Map<ModelId, Duration> arriving = new HashMap<>();
		for (EngineCommander commander : this.commanders.values()) {
			commander.timeUntilLoaded()
				.ifPresent((time) -> arriving.merge(commander.change().orElseThrow().model(), time,
						(one, other) -> (one.compareTo(other) < 0) ? one : other));
		}
		return arriving;
	}

	// Returns the models that are about to leave engines.
	Map<BackendServerId, ModelId> retiring() {
		Map<BackendServerId, ModelId> retiring = new HashMap<>();
		this.commanders.forEach((engine, commander) -> commander.change()
			.filter((change) -> !change.isLoad())
			.ifPresent((change) -> retiring.put(engine, change.model())));
		return retiring;
	}

}
