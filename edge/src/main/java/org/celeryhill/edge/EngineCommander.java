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

import io.netty.channel.EventLoop;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.ModelId;
import org.celeryhill.forward.EngineProfile;
import org.celeryhill.forward.RequestMetadata;
import org.celeryhill.forward.ServerEntry;
import org.celeryhill.platform.PlatformEngineClient;
import org.celeryhill.state.Lease;

/**
 * Sends commands to one incarnation of one engine, one at a time. Each command contains
 * the number of commands that the engine has accepted before it, so that it takes effect
 * only on the state for which it was decided, however late it arrives. Must be used on
 * the event loop.
 */
final class EngineCommander {

	private static final EventLog LOG = EventLog.of(EngineCommander.class);

	/** Delay of the state that an engine reports: a few hundred milliseconds. */
	private static final long STATE_LAG_MS = 350;

	/**
	 * Time from the decision to unload a model to the command, within which all hosts
	 * stop sending requests for it.
	 */
	private static final long RETIRE_DELAY_MS = 400;

	/** Time from the acceptance of a load until the adapter can be used. */
	private static final long ADAPTER_READY_DELAY_MS = 25;

	private static final int MAX_ADAPTER_LOADS_IN_FLIGHT = 4;

	private static final long ADAPTER_JOB_TIMEOUT_MS = 700;

	/** Time since its last use before which an adapter may still be in use. */
	private static final long MIN_ADAPTER_IDLE_MS = 1500;

	/** Time for which a loaded model is kept at least, so that its load pays off. */
	private static final long MIN_RESIDENCE_NANOS = TimeUnit.SECONDS.toNanos(3);

	private static final double MIN_UNLOAD_SECONDS = 0.6;

	private static final long MODEL_CHANGE_TIMEOUT_MS = 25_000;

	/** Sends of an unanswered command before the state of the engine is requested. */
	private static final int MAX_SENDS = 3;

	private final EventLoop loop;

	private final PlatformEngineClient engines;

	private final Leadership leadership;

	private final EdgeMetrics metrics;

	private final String holder;

	private final Deque<AdapterJob> adapterJobs = new ArrayDeque<>();

	private final Map<ModelId, Long> lastAdapterUseNanos = new HashMap<>();

	private final Set<ModelId> residents = new HashSet<>();

	private final Map<ModelId, Long> modelLoadedNanos = new HashMap<>();

	private ServerEntry entry;

	private EngineProfile profile;

	private long acceptedCommands = -1;

	private boolean isCallPending;

	private long nextStateRequestNanos = System.nanoTime();

	private Optional<ModelChange> pendingChange = Optional.empty();

	private Optional<DeferredLoad> deferredLoad = Optional.empty();

	private int adapterLoadsInFlight;

	EngineCommander(EventLoop loop, PlatformEngineClient engines, Leadership leadership, EdgeMetrics metrics,
			String holder, ServerEntry entry, EngineProfile profile) {
		this.loop = loop;
		this.engines = engines;
		this.leadership = leadership;
		this.metrics = metrics;
		this.holder = holder;
		this.entry = entry;
		this.profile = profile;
	}

	// Updates the entry and the profile, for a later entry of the same incarnation.
	void update(ServerEntry newEntry, EngineProfile newProfile) {
		this.entry = newEntry;
		this.profile = newProfile;
		this.pendingChange.ifPresent((one) -> {
			boolean isModelLoaded = models(newEntry).contains(one.model());
			if (one.isSent() && isModelLoaded == one.isLoad()) {
				settled(one);
			}
		});
	}

	private static Set<ModelId> models(ServerEntry entry) {
		Set<ModelId> models = new HashSet<>();
		entry.models().forEach((holding) -> models.add(holding.model()));
		return models;
	}

	// Ends a change that the entry of the engine confirms, and starts the deferred load.
	private void settled(ModelChange completed) {
		LOG.info("command_settled", "engine", this.entry.id(), "load", completed.isLoad(), "model", completed.model(),
				"ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - completed.decidedNanos()));
		if (completed.isLoad()) {
			this.residents.add(completed.model());
			this.modelLoadedNanos.put(completed.model(), System.nanoTime());
		}
		else {
			this.residents.remove(completed.model());
			this.lastAdapterUseNanos.keySet().removeIf((adapter) -> isAdapterOf(adapter, completed.model()));
		}
		this.pendingChange = Optional.empty();
		Optional<DeferredLoad> next = this.deferredLoad;
		this.deferredLoad = Optional.empty();
		next.ifPresent((one) -> load(one.model(), one.isCold(), "after_removal"));
	}

	private static boolean isAdapterOf(ModelId adapter, ModelId model) {
		return adapter.value().startsWith(model.value() + "/");
	}

	// Discards the known state of the engine, which is requested again before the next
	// command.
	void resync() {
		this.acceptedCommands = -1;
		this.pendingChange = Optional.empty();
		this.deferredLoad = Optional.empty();
		this.nextStateRequestNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STATE_LAG_MS);
	}

	boolean isReadyForCommand() {
		return this.acceptedCommands >= 0 && this.pendingChange.isEmpty() && !this.isCallPending;
	}

	// Returns the memory in bytes that is free for models. Memory for all adapter slots
	// is reserved.
	long freeBytes() {
		long usedBytes = 0;
		for (EngineProfile.Model model : this.profile.models()) {
			usedBytes += this.residents.contains(model.id()) ? model.bytes() : 0;
		}
		long maxAdapterBytes = this.profile.models()
			.stream()
			.mapToLong(EngineProfile.Model::adapterBytes)
			.max()
			.orElse(0);
		return this.profile.memoryBytes() - usedBytes - maxAdapterBytes * this.profile.maxAdapters();
	}

	Set<ModelId> residents() {
		return this.residents;
	}

	// Returns the models that have been loaded long enough to be unloaded again.
	Set<ModelId> unloadableModels() {
		long now = System.nanoTime();
		Set<ModelId> unloadable = new HashSet<>(this.residents);
		unloadable.removeIf((model) -> now
				- this.modelLoadedNanos.getOrDefault(model, now - MIN_RESIDENCE_NANOS) < MIN_RESIDENCE_NANOS);
		return unloadable;
	}

	Optional<ModelChange> pendingChange() {
		return this.pendingChange;
	}

	// Returns the models that the engine will hold after the pending commands.
	Set<ModelId> expectedResidents() {
		Set<ModelId> expected = new HashSet<>(this.residents);
		this.pendingChange.ifPresent((one) -> {
			if (one.isLoad()) {
				expected.add(one.model());
			}
			else {
				expected.remove(one.model());
			}
		});
		this.deferredLoad.ifPresent((next) -> expected.add(next.model()));
		return expected;
	}

	// Returns the expected time until the model that is being loaded can be used, empty
	// if no model is.
	Optional<Duration> remainingLoadTime() {
		return this.pendingChange.filter(ModelChange::isLoad)
			.flatMap((one) -> loadTime(one.model(), one.isCold())
				.map((time) -> time.minusNanos(System.nanoTime() - one.decidedNanos()))
				.map((left) -> left.isNegative() ? Duration.ZERO : left));
	}

	// Returns the models to be loaded with the expected seconds until they can be used.
	// An unload waits for the running requests of the model, so that one that has taken
	// long is expected to take as long again.
	Map<ModelId, Double> remainingLoadSeconds() {
		Map<ModelId, Double> loadSeconds = new HashMap<>();
		this.pendingChange.ifPresent((one) -> {
			remainingLoadTime().ifPresent((left) -> loadSeconds.put(one.model(), left.toMillis() / 1e3));
			double unloadSeconds = Math.max(MIN_UNLOAD_SECONDS, (System.nanoTime() - one.decidedNanos()) / 1e9);
			this.deferredLoad.ifPresent((next) -> loadTime(next.model(), next.isCold())
				.ifPresent((time) -> loadSeconds.put(next.model(), unloadSeconds + time.toMillis() / 1e3)));
		});
		return loadSeconds;
	}

	// Returns the full load time of a model, empty if the configuration no longer
	// contains the model.
	private Optional<Duration> loadTime(ModelId model, boolean isCold) {
		return this.profile.models()
			.stream()
			.filter((candidate) -> candidate.id().equals(model))
			.findFirst()
			.map((found) -> isCold ? found.coldLoadTime() : found.diskLoadTime());
	}

	// Starts the load of a model.
	void load(ModelId model, boolean isCold, String reason) {
		startChange(new ModelChange(true, model, isCold, System.nanoTime(), 0, false), reason);
	}

	// Starts the unload of a model, to be followed by the load of another one.
	void swap(ModelId model, ModelId replacement, boolean isCold, String reason) {
		unload(model, "room_for_" + replacement + "_" + reason);
		this.deferredLoad = Optional.of(new DeferredLoad(replacement, isCold));
	}

	// Starts the unload of a model. The command is delayed until all hosts have stopped
	// sending requests for the model, so that the engine refuses none.
	void unload(ModelId model, String reason) {
		startChange(new ModelChange(false, model, false, System.nanoTime(),
				TimeUnit.MILLISECONDS.toNanos(RETIRE_DELAY_MS), false), reason);
	}

	private void startChange(ModelChange newChange, String reason) {
		LOG.info("command_decided", "engine", this.entry.id(), "load", newChange.isLoad(), "model", newChange.model(),
				"cold", newChange.isCold(), "count", this.acceptedCommands, "reason", reason);
		this.pendingChange = Optional.of(newChange);
		sendDueCommands();
	}

	// Requests the load of an adapter and reports whether it can be used.
	void loadAdapter(RequestMetadata.ModelName name, Consumer<Boolean> done) {
		long now = System.nanoTime();
		ModelId id = name.toId();
		Long lastUseNanos = this.lastAdapterUseNanos.get(id);
		this.adapterJobs.add(new AdapterJob(name, done, now));
		if (lastUseNanos != null) {
			this.lastAdapterUseNanos.put(id, now);
		}
		sendDueCommands();
	}

	// Records that requests use an adapter.
	void recordAdapterUse(ModelId adapter) {
		this.lastAdapterUseNanos.computeIfPresent(adapter, (id, before) -> System.nanoTime());
	}

	// Sends the next command that is due, or requests the state if it is unknown.
	void sendDueCommands() {
		expireAdapterJobs();
		Optional<Lease> lease = this.leadership.commandLease();
		if (lease.isEmpty() || this.isCallPending) {
			return;
		}
		long now = System.nanoTime();
		if (this.acceptedCommands < 0) {
			if (now - this.nextStateRequestNanos >= 0) {
				requestState();
			}
			return;
		}
		if (this.pendingChange.filter((one) -> !one.isSent() && now - one.decidedNanos() >= one.delayNanos())
			.isPresent()) {
			ModelChange dueChange = this.pendingChange.get();
			sendCommand(lease.get(), dueChange.isLoad(), dueChange.model(), Optional.empty(), 1,
					(outcome) -> handleChangeOutcome(dueChange, outcome));
			return;
		}
		if (this.pendingChange
			.filter((one) -> now - one.decidedNanos() > TimeUnit.MILLISECONDS.toNanos(MODEL_CHANGE_TIMEOUT_MS))
			.isPresent()) {
			LOG.warn("command_not_settled", "engine", this.entry.id(), "model", this.pendingChange.get().model());
			resync();
			return;
		}
		processAdapterJobs(lease.get());
	}

	private void requestState() {
		this.isCallPending = true;
		this.engines.readState(this.entry).thenAccept((state) -> {
			this.isCallPending = false;
			if (state.isEmpty() || state.get().isBusy()) {
				this.nextStateRequestNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STATE_LAG_MS);
				return;
			}
			this.acceptedCommands = state.get().commandCount();
			this.residents.clear();
			Set<ModelId> adapters = new HashSet<>(state.get().pendingAdapters());
			for (ServerEntry.ResidentModel holding : state.get().models()) {
				this.residents.add(holding.model());
				holding.adapters()
					.forEach((name) -> adapters.add(RequestMetadata.ModelName.adapterId(holding.model(), name)));
			}
			this.lastAdapterUseNanos.keySet().retainAll(adapters);
			adapters.forEach((adapter) -> this.lastAdapterUseNanos.putIfAbsent(adapter, System.nanoTime()));
			LOG.info("engine_state", "engine", this.entry.id(), "count", this.acceptedCommands, "models",
					this.residents, "adapters", adapters.size());
			sendDueCommands();
		});
	}

	private void handleChangeOutcome(ModelChange sentChange, PlatformEngineClient.Outcome outcome) {
		if (outcome == PlatformEngineClient.Outcome.ACCEPTED) {
			this.acceptedCommands++;
			this.pendingChange = Optional.of(sentChange.withSent());
		}
		else if (outcome == PlatformEngineClient.Outcome.NOT_SENT) {
			this.pendingChange = Optional.empty();
			this.deferredLoad = Optional.empty();
		}
		else {
			resync();
		}
	}

	private void sendCommand(Lease lease, boolean isLoad, ModelId model, Optional<String> adapter, int sendNumber,
			Consumer<PlatformEngineClient.Outcome> done) {
		this.isCallPending = true;
		PlatformEngineClient.Command command = new PlatformEngineClient.Command(isLoad, model, adapter,
				this.acceptedCommands, this.holder, lease.token().value());
		this.engines.send(this.entry, command).thenAccept((outcome) -> {
			this.metrics.countCommand(isLoad ? "load" : "unload", outcome.name());
			LOG.info("command_sent", "engine", this.entry.id(), "load", isLoad, "model", model, "adapter",
					adapter.orElse("-"), "count", command.expectedCommandCount(), "token", command.token(), "send",
					sendNumber, "outcome", outcome);
			Optional<Lease> currentLease = this.leadership.commandLease();
			boolean isRetry = outcome == PlatformEngineClient.Outcome.UNKNOWN && sendNumber < MAX_SENDS
					&& currentLease.isPresent();
			if (isRetry) {
				// Both have the same count, so the engine accepts at most one of them.
				sendCommand(currentLease.get(), isLoad, model, adapter, sendNumber + 1, done);
				return;
			}
			this.isCallPending = false;
			done.accept(outcome);
			sendDueCommands();
		});
	}

	private void expireAdapterJobs() {
		long now = System.nanoTime();
		boolean isAllowed = this.leadership.commandLease().isPresent();
		List<AdapterJob> expired = new ArrayList<>();
		this.adapterJobs.removeIf((job) -> {
			boolean isExpired = !isAllowed
					|| now - job.createdNanos() > TimeUnit.MILLISECONDS.toNanos(ADAPTER_JOB_TIMEOUT_MS);
			if (isExpired) {
				expired.add(job);
			}
			return isExpired;
		});
		expired.forEach((job) -> job.done().accept(false));
	}

	private void processAdapterJobs(Lease lease) {
		while (!this.adapterJobs.isEmpty() && !this.isCallPending) {
			AdapterJob job = this.adapterJobs.peek();
			ModelId id = job.name().toId();
			boolean isLeaving = this.pendingChange.filter((one) -> one.model().equals(job.name().model())).isPresent();
			if (!this.residents.contains(job.name().model()) || isLeaving) {
				this.adapterJobs.poll().done().accept(false);
				continue;
			}
			if (this.lastAdapterUseNanos.containsKey(id)) {
				this.adapterJobs.poll().done().accept(true);
				continue;
			}
			if (this.adapterLoadsInFlight >= MAX_ADAPTER_LOADS_IN_FLIGHT) {
				return;
			}
			if (this.lastAdapterUseNanos.size() >= this.profile.maxAdapters()) {
				unloadIdleAdapter(lease);
				return;
			}
			loadAdapter(lease, job);
		}
	}

	private void loadAdapter(Lease lease, AdapterJob job) {
		ModelId id = job.name().toId();
		sendCommand(lease, true, job.name().model(), job.name().adapter(), 1, (outcome) -> {
			// The callback of a job that has expired meanwhile was already called.
			Consumer<Boolean> done = this.adapterJobs.remove(job) ? job.done() : (isLoaded) -> {
			};
			if (outcome == PlatformEngineClient.Outcome.DONE) {
				this.lastAdapterUseNanos.put(id, System.nanoTime());
				done.accept(true);
			}
			else if (outcome == PlatformEngineClient.Outcome.ACCEPTED) {
				this.acceptedCommands++;
				this.lastAdapterUseNanos.put(id, System.nanoTime());
				this.adapterLoadsInFlight++;
				this.loop.schedule(() -> {
					this.adapterLoadsInFlight--;
					done.accept(true);
					sendDueCommands();
				}, ADAPTER_READY_DELAY_MS, TimeUnit.MILLISECONDS);
			}
			else {
				boolean isBusy = outcome == PlatformEngineClient.Outcome.REFUSED
						&& this.pendingChange.filter(ModelChange::isSent).isPresent();
				if (outcome != PlatformEngineClient.Outcome.NOT_SENT && !isBusy) {
					resync();
				}
				done.accept(false);
			}
		});
	}

	private void unloadIdleAdapter(Lease lease) {
		ModelId oldest = null;
		for (Map.Entry<ModelId, Long> use : this.lastAdapterUseNanos.entrySet()) {
			if (oldest == null || use.getValue() - this.lastAdapterUseNanos.get(oldest) < 0) {
				oldest = use.getKey();
			}
		}
		long age = System.nanoTime() - this.lastAdapterUseNanos.get(oldest);
		if (age < TimeUnit.MILLISECONDS.toNanos(MIN_ADAPTER_IDLE_MS)) {
			return;
		}
		ModelId adapter = oldest;
		String[] parts = adapter.value().split("/", 2);
		sendCommand(lease, false, ModelId.of(parts[0]), Optional.of(parts[1]), 1, (outcome) -> {
			if (outcome == PlatformEngineClient.Outcome.DONE) {
				this.acceptedCommands++;
				this.lastAdapterUseNanos.remove(adapter);
			}
			else if (outcome != PlatformEngineClient.Outcome.NOT_SENT) {
				resync();
			}
		});
	}

	/**
	 * A pending load or unload of a model on the engine.
	 *
	 * @param isLoad whether to load the model, else to unload it
	 * @param model the model, not null
	 * @param isCold whether the weights come from the weight store
	 * @param decidedNanos the time of the decision, as {@link System#nanoTime()}
	 * @param delayNanos the time in nanoseconds from the decision to the command
	 * @param isSent whether the engine has accepted the command
	 */
	record ModelChange(boolean isLoad, ModelId model, boolean isCold, long decidedNanos, long delayNanos,
			boolean isSent) {

		private ModelChange withSent() {
			return new ModelChange(this.isLoad, this.model, this.isCold, this.decidedNanos, this.delayNanos, true);
		}

	}

	private record DeferredLoad(ModelId model, boolean isCold) {
	}

	private record AdapterJob(RequestMetadata.ModelName name, Consumer<Boolean> done, long createdNanos) {
	}

}
