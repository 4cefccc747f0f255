package org.celeryhill.forward;

import java.util.ArrayList;
import java.util.Collections;
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
 * Directory of the backend servers that this host knows. Combines the entry in the host
 * list, the load reported in responses, and the adapters that were loaded since the last
 * entry. Must be used on the event loop.
 */
public final class ServerDirectory {

	private static final EventLog LOG = EventLog.of(ServerDirectory.class);

	/** Key-value cache tokens that a request of another host is assumed to use. */
	private static final int ASSUMED_REQUEST_TOKENS = 2400;

	/** Assumed prefill throughput of an engine. */
	private static final double ASSUMED_PREFILL_TOKENS_PER_SECOND = 19_000;

	/** More than the backend servers that leave within a minute. */
	private static final int MAX_LEAVING_INCARNATIONS = 4096;

	private final Map<BackendServerId, ServerState> servers = new LinkedHashMap<>();

	/**
	 * Incarnations that have stated in a response that they are about to end. Kept when
	 * an entry vanishes, as it may come back.
	 */
	private final Set<String> leavingIncarnations = Collections.newSetFromMap(new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
			return size() > MAX_LEAVING_INCARNATIONS;
		}
	});

	private final Function<ServiceId, Optional<EngineProfile>> profileLookup;

	private final Consumer<BackendView> changeListener;

	private final Consumer<BackendServerId> removalListener;

	private ServerDirectory(Function<ServiceId, Optional<EngineProfile>> profileLookup,
			Consumer<BackendView> changeListener, Consumer<BackendServerId> removalListener) {
		this.profileLookup = profileLookup;
		this.changeListener = changeListener;
		this.removalListener = removalListener;
	}

	/**
	 * Creates an empty directory.
	 * @param profileLookup returns the engine profile of a service, not null
	 * @param changeListener called with the new state of each changed backend server, not
	 * null
	 * @param removalListener called with the id of each removed backend server, not null
	 * @return the directory, never null
	 */
	public static ServerDirectory create(Function<ServiceId, Optional<EngineProfile>> profileLookup,
			Consumer<BackendView> changeListener, Consumer<BackendServerId> removalListener) {
		return new ServerDirectory(profileLookup, changeListener, removalListener);
	}

	/**
	 * Adds or updates the entry of a backend server. An entry with an older heartbeat of
	 * the same incarnation is ignored.
	 * @param listed the entry in the host list, not null
	 * @param version the version of the host list that contains it
	 */
	public void put(ServerEntry listed, long version) {
		ServerEntry entry = this.leavingIncarnations.contains(listed.incarnationId()) ? listed.asDraining() : listed;
		ServerState state = this.servers.get(entry.id());
		if (state == null) {
			state = new ServerState();
			this.servers.put(entry.id(), state);
			logServerEvent("server_seen", entry, version);
		}
		else if (state.entry.isDifferentIncarnation(entry)) {
			logServerEvent("server_restarted", entry, version);
			state.load = null;
			state.loadSequence = 0;
			state.unlistedAdapters.clear();
		}
		else if (entry.heartbeat() < state.entry.heartbeat()) {
			LOG.info("server_entry_stale", "server", entry.id(), "heartbeat", entry.heartbeat(), "known",
					state.entry.heartbeat(), "version", version);
			return;
		}
		else if (state.entry.isDraining() != entry.isDraining()) {
			logServerEvent("server_draining", entry, version);
		}
		state.entry = entry;
		state.unlistedAdapters.removeIf((adapter) -> isAdapterListed(entry, adapter));
		publish(state);
	}

	private static void logServerEvent(String event, ServerEntry entry, long version) {
		LOG.info(event, "server", entry.id(), "service", entry.service(), "address", entry.address(), "incarnation",
				entry.incarnation(), "draining", entry.isDraining(), "version", version);
	}

	private static boolean isAdapterListed(ServerEntry entry, ModelId adapter) {
		return listedAdapters(entry).contains(adapter);
	}

	/**
	 * Removes a backend server.
	 * @param id the backend server, not null
	 * @param version the version of the host list that no longer contains it
	 */
	public void remove(BackendServerId id, long version) {
		if (this.servers.remove(id) != null) {
			LOG.info("server_left", "server", id, "version", version);
			this.removalListener.accept(id);
		}
	}

	/**
	 * Records that a backend server process has stated in a response that it is about to
	 * end. It gets no new requests from then on, whatever its entry says.
	 * @param server the entry under which it was known, not null
	 */
	public void recordLeaving(ServerEntry server) {
		if (!this.leavingIncarnations.add(server.incarnationId())) {
			return;
		}
		LOG.info("server_leaving", "server", server.id(), "incarnation", server.incarnation());
		ServerState state = this.servers.get(server.id());
		if (state != null && !state.entry.isDifferentIncarnation(server)) {
			state.entry = state.entry.asDraining();
			publish(state);
		}
	}

	/**
	 * Updates the load of a backend server from a response. Unknown backend servers are
	 * ignored.
	 * @param id the backend server, not null
	 * @param load the load, not null
	 */
	public void observeLoad(BackendServerId id, ResponseMetadata.Load load) {
		ServerState state = this.servers.get(id);
		if (state != null) {
			state.load = load;
			state.loadSequence++;
			publish(state);
		}
	}

	/**
	 * Records that a backend server has stated a load that can't be read in full. It is
	 * logged once while the server stays in the directory.
	 * @param id the backend server, not null
	 * @param text the beginning of what it has stated, not null
	 */
	public void recordOddLoad(BackendServerId id, String text) {
		ServerState state = this.servers.get(id);
		if (state != null && !state.hasStatedOddLoad) {
			state.hasStatedOddLoad = true;
			LOG.warn("server_load_odd", "server", id, "value", text);
		}
	}

	/**
	 * Records that a command has loaded an adapter on an engine.
	 * @param id the backend server, not null
	 * @param adapter the adapter, not null
	 */
	public void addAdapter(BackendServerId id, ModelId adapter) {
		ServerState state = this.servers.get(id);
		if (state != null && state.unlistedAdapters.add(adapter)) {
			publish(state);
		}
	}

	/**
	 * Records that an adapter is not loaded on an engine, after the engine rejected a
	 * request for it.
	 * @param id the backend server, not null
	 * @param adapter the adapter, not null
	 */
	public void removeAdapter(BackendServerId id, ModelId adapter) {
		ServerState state = this.servers.get(id);
		if (state != null) {
			state.unlistedAdapters.remove(adapter);
			state.missingAdapters.add(adapter);
			publish(state);
			state.missingAdapters.clear();
		}
	}

	/**
	 * Returns the entry of a backend server.
	 * @param id the backend server, not null
	 * @return the entry, empty if the backend server is not in the directory
	 */
	public Optional<ServerEntry> find(BackendServerId id) {
		return Optional.ofNullable(this.servers.get(id)).map((state) -> state.entry);
	}

	/**
	 * Returns the entries of all backend servers.
	 * @return the entries, never null
	 */
	public List<ServerEntry> entries() {
		return this.servers.values().stream().map((state) -> state.entry).toList();
	}

	/**
	 * Returns whether an adapter is loaded on an engine, as far as this host knows.
	 * @param id the engine, not null
	 * @param adapter the adapter, not null
	 * @return whether it is loaded
	 */
	public boolean hasAdapter(BackendServerId id, ModelId adapter) {
		ServerState state = this.servers.get(id);
		return state != null && (state.unlistedAdapters.contains(adapter) || isAdapterListed(state.entry, adapter));
	}

	/**
	 * Sets the models that are about to be unloaded. The engines receive no new requests
	 * for them.
	 * @param models the model to be unloaded by engine, not null
	 */
	public void setRetiringModels(Map<BackendServerId, ModelId> models) {
		for (Map.Entry<BackendServerId, ServerState> server : this.servers.entrySet()) {
			ModelId retiringModel = models.get(server.getKey());
			ServerState state = server.getValue();
			if (!java.util.Objects.equals(retiringModel, state.retiringModel)) {
				LOG.info("model_retiring", "server", server.getKey(), "model",
						(retiringModel != null) ? retiringModel : "none");
				state.retiringModel = retiringModel;
				publish(state);
			}
		}
	}

	/**
	 * Returns whether a model is loaded on an engine that accepts requests for it.
	 * @param service the service, not null
	 * @param model the model without an adapter, not null
	 * @return whether there is such an engine
	 */
	public boolean isServed(ServiceId service, ModelId model) {
		for (ServerState state : this.servers.values()) {
			boolean isUsable = state.entry.service().equals(service) && !state.entry.isDraining()
					&& !model.equals(state.retiringModel);
			if (isUsable
					&& state.entry.models().stream().anyMatch((residentModel) -> residentModel.model().equals(model))) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Publishes the state of all backend servers again, after a change of the
	 * configuration.
	 */
	public void republish() {
		this.servers.values().forEach(this::publish);
	}

	private void publish(ServerState state) {
		ServerEntry entry = state.entry;
		state.sequence++;
		int running = (state.load != null) ? state.load.running() + state.load.queued() : 0;
		int pace = (state.load != null) ? state.load.pace() : ResponseMetadata.Load.USUAL_PACE;
		this.changeListener.accept(new BackendView(entry.id(), entry.service(), entry.dataCentre(), report(state),
				running, entry.slots(), true, entry.isDraining(), pace, state.loadSequence));
	}

	private Optional<EngineReport> report(ServerState state) {
		return this.profileLookup.apply(state.entry.service()).map((profile) -> report(state, profile));
	}

	private EngineReport report(ServerState state, EngineProfile profile) {
		ServerEntry entry = state.entry;
		int running = (state.load != null) ? state.load.running() : 0;
		int queued = (state.load != null) ? state.load.queued() : 0;
		long usedTokens = Math.min(profile.kvCacheTokens(), (long) running * ASSUMED_REQUEST_TOKENS);
		return new EngineReport(entry.id(), Long.toString(entry.incarnation()), state.sequence, profile.memoryBytes(),
				0, residents(state, profile), List.of(), FencingToken.ZERO, false, EngineReport.Role.MIXED, running,
				queued, usedTokens, profile.kvCacheTokens(), ASSUMED_PREFILL_TOKENS_PER_SECOND, 0, entry.isDraining());
	}

	private static List<EngineReport.Resident> residents(ServerState state, EngineProfile profile) {
		List<EngineReport.Resident> residents = new ArrayList<>();
		Set<ModelId> residentModels = new HashSet<>();
		for (ServerEntry.ResidentModel residentModel : state.entry.models()) {
			if (residentModel.model().equals(state.retiringModel)) {
				continue;
			}
			long bytes = profile.models()
				.stream()
				.filter((model) -> model.id().equals(residentModel.model()))
				.mapToLong(EngineProfile.Model::bytes)
				.findFirst()
				.orElse(0);
			residentModels.add(residentModel.model());
			residents.add(new EngineReport.Resident(residentModel.model(), bytes, EngineReport.ResidentState.READY));
		}
		Set<ModelId> adapters = listedAdapters(state.entry);
		adapters.addAll(state.unlistedAdapters);
		adapters.removeAll(state.missingAdapters);
		adapters.removeIf((adapter) -> !residentModels.contains(ModelId.of(adapter.value().split("/", 2)[0])));
		for (ModelId adapter : adapters) {
			residents.add(new EngineReport.Resident(adapter, 0, EngineReport.ResidentState.READY));
		}
		return residents;
	}

	private static Set<ModelId> listedAdapters(ServerEntry entry) {
		Set<ModelId> adapters = new HashSet<>();
		for (ServerEntry.ResidentModel residentModel : entry.models()) {
			for (String name : residentModel.adapters()) {
				adapters.add(RequestMetadata.ModelName.adapterId(residentModel.model(), name));
			}
		}
		return adapters;
	}

	private static final class ServerState {

		private final Set<ModelId> unlistedAdapters = new HashSet<>();

		private final Set<ModelId> missingAdapters = new HashSet<>();

		private ServerEntry entry;

		private ModelId retiringModel;

		private ResponseMetadata.Load load;

		private long loadSequence;

		private boolean hasStatedOddLoad;

		private long sequence;

	}

}
