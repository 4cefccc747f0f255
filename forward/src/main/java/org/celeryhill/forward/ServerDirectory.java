package org.celeryhill.forward;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.FencingToken;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.ServiceId;
import org.celeryhill.port.EngineReport;
import org.celeryhill.traffic.BackendView;

/**
 * What this host believes of each backend server: its entry in the host list, the load
 * that its answers state, and the adapters that were loaded since its last entry. Must be
 * used on the event loop.
 */
public final class ServerDirectory {

	private static final EventLog LOG = EventLog.of(ServerDirectory.class);

	/** Tokens of memory that a request of another host is assumed to hold. */
	private static final int ASSUMED_REQUEST_TOKENS = 2400;

	/** Prompt tokens that an engine is assumed to read in a second. */
	private static final double PREFILL_TOKENS_PER_SECOND = 19_000;

	private final Map<BackendServerId, State> states = new LinkedHashMap<>();

	private final Function<ServiceId, Optional<EngineProfile>> profiles;

	private final Consumer<BackendView> observer;

	private final Consumer<BackendServerId> forgetter;

	private ServerDirectory(Function<ServiceId, Optional<EngineProfile>> profiles, Consumer<BackendView> observer,
			Consumer<BackendServerId> forgetter) {
		this.profiles = profiles;
		this.observer = observer;
		this.forgetter = forgetter;
	}

	/**
	 * Creates an empty directory.
	 * @param profiles finds the engine profile of a service, not null
	 * @param observer told of each change of a backend server, not null
	 * @param forgetter told of each backend server that has gone, not null
	 * @return the directory, never null
	 */
	public static ServerDirectory create(Function<ServiceId, Optional<EngineProfile>> profiles,
			Consumer<BackendView> observer, Consumer<BackendServerId> forgetter) {
		return new ServerDirectory(profiles, observer, forgetter);
	}

	/**
	 * Takes a new entry of a backend server.
	 * @param entry the entry, not null
	 * @param version the version of the host list that it comes from
	 */
	public void put(ServerEntry entry, long version) {
		State state = this.states.get(entry.id());
		if (state == null) {
			state = new State();
			this.states.put(entry.id(), state);
			log("server_seen", entry, version);
		}
		else if (state.entry.isDifferentIncarnation(entry)) {
			log("server_restarted", entry, version);
			state.load = null;
			state.extraAdapters.clear();
		}
		else if (entry.heartbeat() < state.entry.heartbeat()) {
			LOG.info("server_entry_stale", "server", entry.id(), "heartbeat", entry.heartbeat(), "known",
					state.entry.heartbeat(), "version", version);
			return;
		}
		else if (state.entry.isDraining() != entry.isDraining()) {
			log("server_draining", entry, version);
		}
		state.entry = entry;
		state.extraAdapters.removeIf((adapter) -> isListed(entry, adapter));
		publish(state);
	}

	private static void log(String event, ServerEntry entry, long version) {
		LOG.info(event, "server", entry.id(), "service", entry.service(), "address", entry.address(), "incarnation",
				entry.incarnation(), "draining", entry.isDraining(), "version", version);
	}

	private static boolean isListed(ServerEntry entry, ModelId adapter) {
		return adapters(entry).contains(adapter);
	}

	/**
	 * Removes a backend server.
	 * @param id the backend server, not null
	 * @param version the version of the host list that no longer names it
	 */
	public void remove(BackendServerId id, long version) {
		if (this.states.remove(id) != null) {
			LOG.info("server_left", "server", id, "version", version);
			this.forgetter.accept(id);
		}
	}

	/**
	 * Takes the load that an answer states.
	 * @param id the backend server, not null
	 * @param load the load, not null
	 */
	public void observeLoad(BackendServerId id, ResponseMetadata.Load load) {
		State state = this.states.get(id);
		if (state != null) {
			state.load = load;
			publish(state);
		}
	}

	/**
	 * Notes an adapter that a command has loaded.
	 * @param id the backend server, not null
	 * @param adapter the adapter, not null
	 */
	public void addAdapter(BackendServerId id, ModelId adapter) {
		State state = this.states.get(id);
		if (state != null && state.extraAdapters.add(adapter)) {
			publish(state);
		}
	}

	/**
	 * Notes that an engine turned out not to hold an adapter.
	 * @param id the backend server, not null
	 * @param adapter the adapter, not null
	 */
	public void removeAdapter(BackendServerId id, ModelId adapter) {
		State state = this.states.get(id);
		if (state != null) {
			state.extraAdapters.remove(adapter);
			state.missingAdapters.add(adapter);
			publish(state);
			state.missingAdapters.clear();
		}
	}

	/**
	 * Returns the entry of a backend server.
	 * @param id the backend server, not null
	 * @return the entry, empty if it is not known
	 */
	public Optional<ServerEntry> find(BackendServerId id) {
		return Optional.ofNullable(this.states.get(id)).map((state) -> state.entry);
	}

	/**
	 * Returns all entries.
	 * @return the entries, never null
	 */
	public List<ServerEntry> entries() {
		return this.states.values().stream().map((state) -> state.entry).toList();
	}

	/**
	 * Returns whether an engine holds an adapter as far as this host knows.
	 * @param id the engine, not null
	 * @param adapter the adapter, not null
	 * @return whether it does
	 */
	public boolean hasAdapter(BackendServerId id, ModelId adapter) {
		State state = this.states.get(id);
		return state != null && (state.extraAdapters.contains(adapter) || isListed(state.entry, adapter));
	}

	/**
	 * Sets the models that are about to leave engines; they take no new requests there.
	 * @param models the leaving model of each engine, not null
	 */
	public void setRetiringModels(Map<BackendServerId, ModelId> models) {
		for (Map.Entry<BackendServerId, State> one : this.states.entrySet()) {
			ModelId next = models.get(one.getKey());
			State state = one.getValue();
			if (!java.util.Objects.equals(next, state.retiring)) {
				LOG.info("model_retiring", "server", one.getKey(), "model", (next != null) ? next : "none");
				state.retiring = next;
				publish(state);
			}
		}
	}

	/**
	 * Returns whether an engine that takes requests holds a model.
	 * @param service the service, not null
	 * @param model the model without an adapter, not null
	 * @return whether one does
	 */
	public boolean isServed(ServiceId service, ModelId model) {
		for (State state : this.states.values()) {
			boolean isUsable = state.entry.service().equals(service) && !state.entry.isDraining()
					&& !model.equals(state.retiring);
			if (isUsable && state.entry.models().stream().anyMatch((holding) -> holding.model().equals(model))) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Publishes all backend servers again, after a change of the configuration.
	 */
	public void republish() {
		this.states.values().forEach(this::publish);
	}

	private void publish(State state) {
		ServerEntry entry = state.entry;
		state.sequence++;
		int running = (state.load != null) ? state.load.running() + state.load.queued() : 0;
		this.observer.accept(new BackendView(entry.id(), entry.service(), entry.dataCentre(), report(state), running,
				entry.slots(), true, entry.isDraining()));
	}

	private Optional<EngineReport> report(State state) {
		return this.profiles.apply(state.entry.service()).map((profile) -> report(state, profile));
	}

	private EngineReport report(State state, EngineProfile profile) {
		ServerEntry entry = state.entry;
		int running = (state.load != null) ? state.load.running() : 0;
		int queued = (state.load != null) ? state.load.queued() : 0;
		long used = Math.min(profile.kvCacheTokens(), (long) running * ASSUMED_REQUEST_TOKENS);
		return new EngineReport(entry.id(), Long.toString(entry.incarnation()), state.sequence, profile.memoryBytes(),
				0, residents(state, profile), List.of(), FencingToken.ZERO, false, EngineReport.Role.MIXED, running,
				queued, used, profile.kvCacheTokens(), PREFILL_TOKENS_PER_SECOND, 0, entry.isDraining());
	}

	private static List<EngineReport.Resident> residents(State state, EngineProfile profile) {
		List<EngineReport.Resident> residents = new ArrayList<>();
		Set<ModelId> held = new HashSet<>();
		for (ServerEntry.ResidentModel holding : state.entry.models()) {
			if (holding.model().equals(state.retiring)) {
				continue;
			}
			long bytes = profile.models()
				.stream()
				.filter((model) -> model.id().equals(holding.model()))
				.mapToLong(EngineProfile.Model::bytes)
				.findFirst()
				.orElse(0);
			held.add(holding.model());
			residents.add(new EngineReport.Resident(holding.model(), bytes, EngineReport.ResidentState.READY));
		}
		Set<ModelId> adapters = adapters(state.entry);
		adapters.addAll(state.extraAdapters);
		adapters.removeAll(state.missingAdapters);
		adapters.removeIf((adapter) -> !held.contains(ModelId.of(adapter.value().split("/", 2)[0])));
		for (ModelId adapter : adapters) {
			residents.add(new EngineReport.Resident(adapter, 0, EngineReport.ResidentState.READY));
		}
		return residents;
	}

	private static Set<ModelId> adapters(ServerEntry entry) {
		Set<ModelId> adapters = new HashSet<>();
		for (ServerEntry.ResidentModel holding : entry.models()) {
			for (String name : holding.adapters()) {
				adapters.add(RequestMetadata.ModelName.adapterId(holding.model(), name));
			}
		}
		return adapters;
	}

	private static final class State {

		private final Set<ModelId> extraAdapters = new HashSet<>();

		private final Set<ModelId> missingAdapters = new HashSet<>();

		private ServerEntry entry;

		private ModelId retiring;

		private ResponseMetadata.Load load;

		private long sequence;

	}

}
