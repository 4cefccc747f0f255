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
 * Sends the commands to one life of one engine, one after the other. Each command names
 * the number of commands that the engine has accepted before, so that it takes effect
 * only on the state that it was decided for, however late it arrives. Must be used on the
 * event loop.
 */
final class EngineCommander {

	private static final EventLog LOG = EventLog.of(EngineCommander.class);

	/** An engine's state lags by some hundred milliseconds. */
	private static final long STATE_LAG_MS = 350;

	/** Time in which hosts stop to send requests for a model that is to be removed. */
	private static final long RETIRE_MS = 400;

	/** An adapter can be used this long after the engine has accepted its load. */
	private static final long ADAPTER_READY_MS = 25;

	private static final int ADAPTERS_IN_TRANSIT = 4;

	private static final long ADAPTER_JOB_TIMEOUT_MS = 700;

	/** An adapter that was asked for later than this ago may be in use. */
	private static final long ADAPTER_IDLE_MS = 1500;

	private static final long MIN_STAY_NANOS = TimeUnit.SECONDS.toNanos(3);

	private static final double REMOVAL_SECONDS = 0.6;

	private static final long MODEL_TIMEOUT_MS = 25_000;

	/** Sends of one command that gets no answer, before the state is asked for. */
	private static final int MAX_SENDS = 3;

	private final EventLoop loop;

	private final PlatformEngineClient engines;

	private final Leadership leadership;

	private final EdgeMetrics metrics;

	private final String holder;

	private final Deque<AdapterJob> jobs = new ArrayDeque<>();

	private final Map<ModelId, Long> adapterUses = new HashMap<>();

	private final Set<ModelId> residents = new HashSet<>();

	private final Map<ModelId, Long> loadedNanos = new HashMap<>();

	private ServerEntry entry;

	private EngineProfile profile;

	private long count = -1;

	private boolean isCalling;

	private long askAfterNanos = System.nanoTime();

	private Optional<ModelChange> change = Optional.empty();

	private Optional<Following> following = Optional.empty();

	private int inTransit;

	EngineCommander(EventLoop loop, PlatformEngineClient engines, Leadership leadership, EdgeMetrics metrics, String holder,
			ServerEntry entry, EngineProfile profile) {
		this.loop = loop;
		this.engines = engines;
		this.leadership = leadership;
		this.metrics = metrics;
		this.holder = holder;
		this.entry = entry;
		this.profile = profile;
	}

	// Takes a later entry of the same life.
	void update(ServerEntry next, EngineProfile nextProfile) {
		this.entry = next;
		this.profile = nextProfile;
		this.change.ifPresent((one) -> {
			boolean isHeld = models(next).contains(one.model());
			if (one.isSent() && isHeld == one.isLoad()) {
				settled(one);
			}
		});
	}

	private static Set<ModelId> models(ServerEntry entry) {
		Set<ModelId> models = new HashSet<>();
		entry.models().forEach((holding) -> models.add(holding.model()));
		return models;
	}

	private void settled(ModelChange done) {
		LOG.info("command_settled", "engine", this.entry.id(), "load", done.isLoad(), "model", done.model(), "ms",
				TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - done.decidedNanos()));
		if (done.isLoad()) {
			this.residents.add(done.model());
			this.loadedNanos.put(done.model(), System.nanoTime());
		}
		else {
			this.residents.remove(done.model());
			this.adapterUses.keySet().removeIf((adapter) -> isAdapterOf(adapter, done.model()));
		}
		this.change = Optional.empty();
		Optional<Following> next = this.following;
		this.following = Optional.empty();
		next.ifPresent((one) -> load(one.model(), one.isCold(), "after_removal"));
	}

	private static boolean isAdapterOf(ModelId adapter, ModelId model) {
		return adapter.value().startsWith(model.value() + "/");
	}

	// Forgets what is known of the engine; its state is asked for before the next
	// command.
	void resync() {
		this.count = -1;
		this.change = Optional.empty();
		this.following = Optional.empty();
		this.askAfterNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STATE_LAG_MS);
	}

	boolean isOpen() {
		return this.count >= 0 && this.change.isEmpty() && !this.isCalling;
	}

	// Returns the memory that a model may still take, with room kept for all adapters.
	long freeBytes() {
		long used = 0;
		for (EngineProfile.Model model : this.profile.models()) {
			used += this.residents.contains(model.id()) ? model.bytes() : 0;
		}
		long adapter = this.profile.models().stream().mapToLong(EngineProfile.Model::adapterBytes).max().orElse(0);
		return this.profile.memoryBytes() - used - adapter * this.profile.maxAdapters();
	}

	Set<ModelId> residents() {
		return this.residents;
	}

	// Models that have served for a while, so that a load pays before it is undone.
	Set<ModelId> removable() {
		long now = System.nanoTime();
		Set<ModelId> removable = new HashSet<>(this.residents);
		removable
			.removeIf((model) -> now - this.loadedNanos.getOrDefault(model, now - MIN_STAY_NANOS) < MIN_STAY_NANOS);
		return removable;
	}

	Optional<ModelChange> change() {
		return this.change;
	}

	// Returns the models that the engine is to hold after the commands under way.
	Set<ModelId> expectedResidents() {
		Set<ModelId> expected = new HashSet<>(this.residents);
		this.change.ifPresent((one) -> {
			if (one.isLoad()) {
				expected.add(one.model());
			}
			else {
				expected.remove(one.model());
			}
		});
		this.following.ifPresent((next) -> expected.add(next.model()));
		return expected;
	}

	// Returns the time until the model that is being loaded can be used.
	Optional<Duration> timeUntilLoaded() {
		return this.change.filter(ModelChange::isLoad)
			.flatMap((one) -> loadTime(one.model(), one.isCold())
				.map((time) -> time.minusNanos(System.nanoTime() - one.decidedNanos()))
				.map((left) -> left.isNegative() ? Duration.ZERO : left));
	}

	// Returns the models that are to come with the seconds until they can be used. A
	// removal waits for the runs that use the model, so one that has taken long is
	// expected to take as long again.
	Map<ModelId, Double> arriving() {
		Map<ModelId, Double> arriving = new HashMap<>();
		this.change.ifPresent((one) -> {
			timeUntilLoaded().ifPresent((left) -> arriving.put(one.model(), left.toMillis() / 1e3));
			double removal = Math.max(REMOVAL_SECONDS, (System.nanoTime() - one.decidedNanos()) / 1e9);
			this.following.ifPresent((next) -> loadTime(next.model(), next.isCold())
				.ifPresent((time) -> arriving.put(next.model(), removal + time.toMillis() / 1e3)));
		});
		return arriving;
	}

	// Empty for a model that the configuration no longer names.
	private Optional<Duration> loadTime(ModelId model, boolean isCold) {
		return this.profile.models()
			.stream()
			.filter((candidate) -> candidate.id().equals(model))
			.findFirst()
			.map((found) -> isCold ? found.coldLoadTime() : found.diskLoadTime());
	}

	// Starts to load a model.
	void load(ModelId model, boolean isCold, String reason) {
		start(new ModelChange(true, model, isCold, System.nanoTime(), 0, false), reason);
	}

	// Starts to remove a model and then to load another one in its place.
	void swap(ModelId model, ModelId next, boolean isCold, String reason) {
		unload(model, "room_for_" + next + "_" + reason);
		this.following = Optional.of(new Following(next, isCold));
	}

	// Starts to remove a model. Hosts are told first, so that no request is turned away.
	void unload(ModelId model, String reason) {
		start(new ModelChange(false, model, false, System.nanoTime(), TimeUnit.MILLISECONDS.toNanos(RETIRE_MS), false),
				reason);
	}

	private void start(ModelChange next, String reason) {
		LOG.info("command_decided", "engine", this.entry.id(), "load", next.isLoad(), "model", next.model(), "cold",
				next.isCold(), "count", this.count, "reason", reason);
		this.change = Optional.of(next);
		pump();
	}

	// Asks for an adapter.
	void loadAdapter(RequestMetadata.ModelName name, Consumer<Boolean> done) {
		long now = System.nanoTime();
		ModelId id = name.toId();
		Long known = this.adapterUses.get(id);
		this.jobs.add(new AdapterJob(name, done, now));
		if (known != null) {
			this.adapterUses.put(id, now);
		}
		pump();
	}

	// Notes that requests use an adapter.
	void used(ModelId adapter) {
		this.adapterUses.computeIfPresent(adapter, (id, before) -> System.nanoTime());
	}

	// Sends what can be sent now.
	void pump() {
		expireJobs();
		Optional<Lease> lease = this.leadership.commandLease();
		if (lease.isEmpty() || this.isCalling) {
			return;
		}
		long now = System.nanoTime();
		if (this.count < 0) {
			if (now - this.askAfterNanos >= 0) {
				ask();
			}
			return;
		}
		if (this.change.filter((one) -> !one.isSent() && now - one.decidedNanos() >= one.delayNanos()).isPresent()) {
			ModelChange next = this.change.get();
			send(lease.get(), next.isLoad(), next.model(), Optional.empty(), 1, (outcome) -> changed(next, outcome));
			return;
		}
		if (this.change.filter((one) -> now - one.decidedNanos() > TimeUnit.MILLISECONDS.toNanos(MODEL_TIMEOUT_MS))
			.isPresent()) {
			LOG.warn("command_not_settled", "engine", this.entry.id(), "model", this.change.get().model());
			resync();
			return;
		}
		pumpAdapters(lease.get());
	}

	private void ask() {
		this.isCalling = true;
		this.engines.readState(this.entry).thenAccept((state) -> {
			this.isCalling = false;
			if (state.isEmpty() || state.get().isBusy()) {
				this.askAfterNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STATE_LAG_MS);
				return;
			}
			this.count = state.get().commandCount();
			this.residents.clear();
			Set<ModelId> adapters = new HashSet<>(state.get().pendingAdapters());
			for (ServerEntry.ResidentModel holding : state.get().models()) {
				this.residents.add(holding.model());
				holding.adapters()
					.forEach((name) -> adapters.add(RequestMetadata.ModelName.adapterId(holding.model(), name)));
			}
			this.adapterUses.keySet().retainAll(adapters);
			adapters.forEach((adapter) -> this.adapterUses.putIfAbsent(adapter, System.nanoTime()));
			LOG.info("engine_state", "engine", this.entry.id(), "count", this.count, "models", this.residents.size(),
					"adapters", adapters.size());
			pump();
		});
	}

	private void changed(ModelChange sent, PlatformEngineClient.Outcome outcome) {
		if (outcome == PlatformEngineClient.Outcome.ACCEPTED) {
			this.count++;
			this.change = Optional.of(sent.withSent());
		}
		else if (outcome == PlatformEngineClient.Outcome.NOT_SENT) {
			this.change = Optional.empty();
			this.following = Optional.empty();
		}
		else {
			resync();
		}
	}

	private void send(Lease lease, boolean isLoad, ModelId model, Optional<String> adapter, int sends,
			Consumer<PlatformEngineClient.Outcome> done) {
		this.isCalling = true;
		PlatformEngineClient.Command command = new PlatformEngineClient.Command(isLoad, model, adapter, this.count, this.holder,
				lease.token().value());
		this.engines.send(this.entry, command).thenAccept((outcome) -> {
			this.metrics.command(isLoad ? "load" : "unload", outcome.name());
			LOG.info("command_sent", "engine", this.entry.id(), "load", isLoad, "model", model, "adapter",
					adapter.orElse("-"), "count", command.expectedCommandCount(), "token", command.token(), "send", sends,
					"outcome", outcome);
			Optional<Lease> next = this.leadership.commandLease();
			boolean isRepeated = outcome == PlatformEngineClient.Outcome.UNKNOWN && sends < MAX_SENDS && next.isPresent();
			if (isRepeated) {
				// A copy that the engine accepts makes it refuse the one without an
				// answer.
				send(next.get(), isLoad, model, adapter, sends + 1, done);
				return;
			}
			this.isCalling = false;
			done.accept(outcome);
			pump();
		});
	}

	private void expireJobs() {
		long now = System.nanoTime();
		boolean isAllowed = this.leadership.commandLease().isPresent();
		List<AdapterJob> expired = new ArrayList<>();
		this.jobs.removeIf((job) -> {
			boolean isOver = !isAllowed
					|| now - job.sinceNanos() > TimeUnit.MILLISECONDS.toNanos(ADAPTER_JOB_TIMEOUT_MS);
			if (isOver) {
				expired.add(job);
			}
			return isOver;
		});
		expired.forEach((job) -> job.done().accept(false));
	}

	private void pumpAdapters(Lease lease) {
		while (!this.jobs.isEmpty() && !this.isCalling) {
			AdapterJob job = this.jobs.peek();
			ModelId id = job.name().toId();
			boolean isLeaving = this.change.filter((one) -> one.model().equals(job.name().model())).isPresent();
			if (!this.residents.contains(job.name().model()) || isLeaving) {
				this.jobs.poll().done().accept(false);
				continue;
			}
			if (this.adapterUses.containsKey(id)) {
				this.jobs.poll().done().accept(true);
				continue;
			}
			if (this.inTransit >= ADAPTERS_IN_TRANSIT) {
				return;
			}
			if (this.adapterUses.size() >= this.profile.maxAdapters()) {
				unloadIdleAdapter(lease);
				return;
			}
			loadAdapter(lease, job);
		}
	}

	private void loadAdapter(Lease lease, AdapterJob job) {
		ModelId id = job.name().toId();
		send(lease, true, job.name().model(), job.name().adapter(), 1, (outcome) -> {
			// A job that has expired meanwhile was told so.
			Consumer<Boolean> done = this.jobs.remove(job) ? job.done() : (isLoaded) -> {
			};
			if (outcome == PlatformEngineClient.Outcome.DONE) {
				this.adapterUses.put(id, System.nanoTime());
				done.accept(true);
			}
			else if (outcome == PlatformEngineClient.Outcome.ACCEPTED) {
				this.count++;
				this.adapterUses.put(id, System.nanoTime());
				this.inTransit++;
				this.loop.schedule(() -> {
					this.inTransit--;
					done.accept(true);
					pump();
				}, ADAPTER_READY_MS, TimeUnit.MILLISECONDS);
			}
			else {
				boolean isBusy = outcome == PlatformEngineClient.Outcome.REFUSED
						&& this.change.filter(ModelChange::isSent).isPresent();
				if (outcome != PlatformEngineClient.Outcome.NOT_SENT && !isBusy) {
					resync();
				}
				done.accept(false);
			}
		});
	}

	private void unloadIdleAdapter(Lease lease) {
		ModelId oldest = null;
		for (Map.Entry<ModelId, Long> use : this.adapterUses.entrySet()) {
			if (oldest == null || use.getValue() - this.adapterUses.get(oldest) < 0) {
				oldest = use.getKey();
			}
		}
		long age = System.nanoTime() - this.adapterUses.get(oldest);
		if (age < TimeUnit.MILLISECONDS.toNanos(ADAPTER_IDLE_MS)) {
			return;
		}
		ModelId adapter = oldest;
		String[] parts = adapter.value().split("/", 2);
		send(lease, false, ModelId.of(parts[0]), Optional.of(parts[1]), 1, (outcome) -> {
			if (outcome == PlatformEngineClient.Outcome.DONE) {
				this.count++;
				this.adapterUses.remove(adapter);
			}
			else if (outcome != PlatformEngineClient.Outcome.NOT_SENT) {
				resync();
			}
		});
	}

	/**
	 * A change of the models on the engine.
	 *
	 * @param isLoad whether to load, else to remove
	 * @param model the model, not null
	 * @param isCold whether the weights come from the weight store
	 * @param decidedNanos when it was decided
	 * @param delayNanos the time from the decision to the command
	 * @param isSent whether the engine has accepted the command
	 */
	record ModelChange(boolean isLoad, ModelId model, boolean isCold, long decidedNanos, long delayNanos,
			boolean isSent) {

		private ModelChange withSent() {
			return new ModelChange(this.isLoad, this.model, this.isCold, this.decidedNanos, this.delayNanos, true);
		}

	}

	private record Following(ModelId model, boolean isCold) {
	}

	private record AdapterJob(RequestMetadata.ModelName name, Consumer<Boolean> done, long sinceNanos) {
	}

}
