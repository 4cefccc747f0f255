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
import org.celeryhill.placement.DemandHistory;
import org.celeryhill.placement.SwapPlanner;
import org.celeryhill.platform.PlatformEngineClient;

/**
 * Plans the placement of models and adapters on engines and sends the commands for it
 * while this host holds the placement lease. Must be used on the event loop.
 */
final class PlacementLoop {

	private static final EventLog LOG = EventLog.of(PlacementLoop.class);

	private static final long PLAN_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

	/**
	 * Part of the allowed loads from the weight store that is used; the rest is left for
	 * commands that arrive late.
	 */
	private static final double COLD_LOAD_PART = 0.6;

	/**
	 * Time after the restart of an engine within which a copy of a command sent before
	 * the restart may still arrive.
	 */
	private static final long MAX_COMMAND_DELAY_NANOS = TimeUnit.SECONDS.toNanos(13);

	private final Map<BackendServerId, EngineCommander> commanders = new HashMap<>();

	private final Map<BackendServerId, Long> incarnations = new HashMap<>();

	private final Map<BackendServerId, Long> restartNanos = new HashMap<>();

	private final Map<ServiceId, DemandHistory> demandHistories = new HashMap<>();

	private final UnservedModelLog unservedLog = new UnservedModelLog();

	private final Deque<Long> coldLoadNanos = new ArrayDeque<>();

	private final EventLoop loop;

	private final Forwarder forwarder;

	private final PlatformEngineClient engines;

	private final Leadership leadership;

	private final EdgeMetrics metrics;

	private final EdgeSettings settings;

	private final Supplier<Map<DemandMeter.Key, DemandMeter.Rate>> demand;

	private long lastPlanNanos = System.nanoTime();

	private boolean wasActive;

	/** The entries and the table that the engines were tracked with last. */
	private List<ServerEntry> trackedEntries = List.of();

	private Optional<RoutingTable> trackedTable = Optional.empty();

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

	// Tracks the engines, and plans and sends commands while this host may do so.
	void tick() {
		boolean isActive = this.leadership.commandLease().isPresent();
		if (isActive != this.wasActive) {
			this.wasActive = isActive;
			this.commanders.clear();
			LOG.info("placement_active", "active", isActive);
		}
		trackEnginesIfNeeded(isActive);
		if (!isActive) {
			return;
		}
		this.commanders.values().forEach(EngineCommander::sendDueCommands);
		long now = System.nanoTime();
		if (now - this.lastPlanNanos >= PLAN_PERIOD_NANOS) {
			this.lastPlanNanos = now;
			this.forwarder.table().ifPresent(this::plan);
		}
	}

	// Tracks restarts of engines on every host, as any host may become the next holder.
	// The commanders of the holder also change without a change of the entries.
	private void trackEnginesIfNeeded(boolean isActive) {
		List<ServerEntry> entries = this.forwarder.directory().entries();
		Optional<RoutingTable> table = this.forwarder.table();
		boolean isSameTable = table.orElse(null) == this.trackedTable.orElse(null);
		if (isActive || entries != this.trackedEntries || !isSameTable) {
			this.trackedEntries = entries;
			this.trackedTable = table;
			trackEngines(entries, table, isActive);
		}
	}

	private void trackEngines(List<ServerEntry> entries, Optional<RoutingTable> table, boolean isActive) {
		Set<BackendServerId> present = new HashSet<>();
		for (ServerEntry entry : entries) {
			Optional<EngineProfile> profile = table.flatMap((one) -> one.service(entry.service()))
				.flatMap(ServiceProfile::engine);
			if (profile.isEmpty()) {
				continue;
			}
			present.add(entry.id());
			trackRestart(entry);
			if (isActive) {
				updateCommander(entry, profile.get());
			}
		}
		this.commanders.keySet().retainAll(present);
	}

	private void trackRestart(ServerEntry entry) {
		Long previous = this.incarnations.put(entry.id(), entry.incarnation());
		if (previous != null && previous != entry.incarnation()) {
			this.restartNanos.put(entry.id(), System.nanoTime());
			this.commanders.remove(entry.id());
		}
	}

	private void updateCommander(ServerEntry entry, EngineProfile profile) {
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
		Set<ModelId> residents = new HashSet<>();
		this.commanders.values().forEach((commander) -> residents.addAll(commander.residents()));
		for (EngineProfile.Model model : profile.models()) {
			DemandMeter.Rate rate = rates.getOrDefault(new DemandMeter.Key(service, model.id()),
					new DemandMeter.Rate(0, 0));
			sizes.put(model.id(), model.bytes());
			models.add(modelInput(service, model, rate, residents.contains(model.id())));
		}
		List<SwapPlanner.EngineInput> inputs = new ArrayList<>();
		for (ServerEntry entry : this.forwarder.directory().entries()) {
			if (entry.service().equals(service) && this.commanders.containsKey(entry.id())) {
				inputs.add(engineInput(entry, this.commanders.get(entry.id()), sizes));
			}
		}
		SwapPlanner.Plan plan = SwapPlanner.plan(inputs, models, allowedColdLoads(profile));
		plan.steps().forEach(this::executeStep);
		this.unservedLog.log(plan.unserved(), System.nanoTime());
	}

	private SwapPlanner.ModelInput modelInput(ServiceId service, EngineProfile.Model model, DemandMeter.Rate rate,
			boolean hasReplica) {
		DemandHistory.Summary history = this.demandHistories.computeIfAbsent(service, (key) -> DemandHistory.create())
			.record(model.id(), rate.valuePerSecond(), hasReplica, System.nanoTime());
		return new SwapPlanner.ModelInput(model.id(), model.bytes(), rate.valuePerSecond(), rate.latePerSecond(),
				history.unservedSeconds(), history.peakValuePerSecond(), model.diskLoadTime().toMillis() / 1e3,
				model.coldLoadTime().toMillis() / 1e3);
	}

	private SwapPlanner.EngineInput engineInput(ServerEntry entry, EngineCommander commander,
			Map<ModelId, Long> sizes) {
		Map<ModelId, Long> residents = new HashMap<>();
		commander.expectedResidents().forEach((model) -> residents.put(model, sizes.getOrDefault(model, 0L)));
		Set<ModelId> cachedModels = new HashSet<>(entry.modelsCachedInMemory());
		cachedModels.addAll(entry.modelsCachedOnDisk());
		long reservedBytes = 0;
		Long restarted = this.restartNanos.get(entry.id());
		if (restarted != null && System.nanoTime() - restarted < MAX_COMMAND_DELAY_NANOS) {
			reservedBytes = sizes.values().stream().mapToLong(Long::longValue).max().orElse(0);
		}
		return new SwapPlanner.EngineInput(entry.id(), commander.freeBytes() - reservedBytes, residents,
				commander.unloadableModels(), commander.remainingLoadSeconds(), cachedModels,
				commander.isReadyForCommand() && !entry.isDraining(), !entry.isDraining());
	}

	private int allowedColdLoads(EngineProfile profile) {
		long windowNanos = (long) (this.settings.loadWindowSeconds * 1e9);
		long now = System.nanoTime();
		while (!this.coldLoadNanos.isEmpty() && now - this.coldLoadNanos.peekFirst() > windowNanos) {
			this.coldLoadNanos.pollFirst();
		}
		int maxLoads = (int) Math.max(1, profile.loadsPerSecond() * this.settings.loadWindowSeconds * COLD_LOAD_PART);
		return maxLoads - this.coldLoadNanos.size();
	}

	private void executeStep(SwapPlanner.Step step) {
		EngineCommander commander = this.commanders.get(step.engine());
		String reason = String.format(java.util.Locale.ROOT, "gain_%.3f", step.gain());
		if (step.isCold()) {
			this.coldLoadNanos.addLast(System.nanoTime());
		}
		if (step.unload().isPresent()) {
			commander.swap(step.unload().get(), step.load(), step.isCold(), reason);
		}
		else {
			commander.load(step.load(), step.isCold(), reason);
		}
	}

	// Loads an adapter on an engine and reports whether it can be used.
	void loadAdapter(BackendServerId engine, RequestMetadata.ModelName name, Consumer<Boolean> done) {
		EngineCommander commander = this.commanders.get(engine);
		if (commander == null) {
			done.accept(false);
		}
		else {
			commander.loadAdapter(name, done);
		}
	}

	// Records that requests use an adapter on an engine.
	void recordAdapterUse(BackendServerId engine, ModelId adapter) {
		Optional.ofNullable(this.commanders.get(engine)).ifPresent((commander) -> commander.recordAdapterUse(adapter));
	}

	// Returns the shortest time until each model that is being loaded can be used.
	Map<ModelId, Duration> remainingLoadTimes() {
		Map<ModelId, Duration> loadTimes = new HashMap<>();
		for (EngineCommander commander : this.commanders.values()) {
			commander.remainingLoadTime()
				.ifPresent((time) -> loadTimes.merge(commander.pendingChange().orElseThrow().model(), time,
						(one, other) -> (one.compareTo(other) < 0) ? one : other));
		}
		return loadTimes;
	}

	// Returns the model that is about to be unloaded from each engine, if there is one.
	Map<BackendServerId, ModelId> retiringModels() {
		Map<BackendServerId, ModelId> modelsByEngine = new HashMap<>();
		this.commanders.forEach((engine, commander) -> commander.pendingChange()
			.filter((change) -> !change.isLoad())
			.ifPresent((change) -> modelsByEngine.put(engine, change.model())));
		return modelsByEngine;
	}

}
