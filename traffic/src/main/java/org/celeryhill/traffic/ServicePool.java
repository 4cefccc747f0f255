package org.celeryhill.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.config.ModelSpec;
import org.celeryhill.config.OrganisationParameters;
import org.celeryhill.config.ServiceTemplate;

/**
 * Queue, backend servers and routes of one service. Not thread-safe.
 */
final class ServicePool {

	/**
	 * Factor from the urgent fraction of the tokens to the level of urgent demand, which
	 * is highest from a tenth of the tokens on.
	 */
	private static final double URGENT_DEMAND_FACTOR = 10;

	/** Queue of the waiting requests. */
	final FairQueue queue = new FairQueue();

	/** Rate at which requests are sent, in estimated tokens per second. */
	final RateEstimate rate = new RateEstimate();

	/** Rate at which urgent requests are sent, in estimated tokens per second. */
	final RateEstimate urgentSendRate = new RateEstimate();

	/**
	 * Template of the service in the current configuration, null before the first one.
	 */
	ServiceTemplate template;

	/** Backend servers by id, in the order in which they first appeared. */
	private final Map<BackendServerId, BackendState> backends = new LinkedHashMap<>();

	/** Routes by model. */
	private final Map<ModelId, ModelRoute> routes = new HashMap<>();

	/**
	 * Backend servers with the model ready, by route, including those that are not
	 * usable.
	 */
	private final Map<ModelRoute, List<BackendState>> readyBackends = new HashMap<>();

	/** Route of all calls of a plain service. */
	private final ModelRoute plainRoute = new ModelRoute(null, null);

	/** Parameters of the deployment. */
	private final TrafficTunables tunables;

	/** Hash of the host of this daemon, which selects its subset of backend servers. */
	private final long hostHash;

	/** Suspect backend servers. */
	private final Set<BackendState> suspects = new LinkedHashSet<>();

	/** Backend servers that have asked for no requests for some time. */
	private final Set<BackendState> pausedBackends = new LinkedHashSet<>();

	/** Data centre of this daemon. */
	private final DataCentre dataCentre;

	/** Times of own requests on all backend servers, and whether they state paces. */
	private final ServiceSpeed speed;

	/** Receives the begin and end of each suspicion. */
	private final AvailabilityListener availabilityListener;

	/** Models of the organisation that was configured last. */
	private List<ModelSpec> latestModels = List.of();

	/** Routes of these models. */
	private Map<ModelId, ModelRoute> latestRoutes = Map.of();

	/** Index of the next new backend server. */
	private int nextIndex;

	/**
	 * Creates an empty pool.
	 * @param tunables the parameters of the deployment
	 * @param hostHash the hash of the host of this daemon
	 * @param dataCentre the data centre of this daemon
	 * @param availabilityListener receives the begin and end of each suspicion
	 */
	ServicePool(TrafficTunables tunables, long hostHash, DataCentre dataCentre,
			AvailabilityListener availabilityListener) {
		this.dataCentre = dataCentre;
		this.tunables = tunables;
		this.speed = new ServiceSpeed(tunables.paceScope());
		this.hostHash = hostHash;
		this.availabilityListener = availabilityListener;
	}

	/**
	 * Returns whether the service is a plain service.
	 * @return false for a service of model engines
	 */
	boolean isPlain() {
		return this.template.kind() == ServiceTemplate.Kind.PLAIN_SERVICE;
	}

	/**
	 * Applies the parameters of an organisation.
	 * @param parameters the parameters
	 */
	void configureOrganisation(OrganisationParameters parameters) {
		OrganisationQueue organisation = this.queue.organisation(parameters.organisation());
		organisation.configuredWeight = parameters.weight();
		organisation.weight = parameters.weight();
		organisation.allowedClasses = parameters.classes();
		organisation.models = routes(parameters.models());
		for (PriorityClass priority : PriorityClass.values()) {
			organisation.classes[priority.ordinal()].target = this.template.classes().get(priority);
		}
	}

	// Returns the routes of models. Organisations with the same models share one map, as
	// there may be many of both.
	private Map<ModelId, ModelRoute> routes(List<ModelSpec> models) {
		if (models != this.latestModels) {
			this.latestModels = models;
			this.latestRoutes = new HashMap<>();
			for (ModelSpec spec : models) {
				ModelRoute base = spec.base().map((id) -> route(id, null)).orElse(null);
				this.latestRoutes.put(spec.id(), route(spec.id(), base));
			}
		}
		return this.latestRoutes;
	}

	private ModelRoute route(ModelId id, ModelRoute base) {
		ModelRoute known = this.routes.get(id);
		if (known != null) {
			return known;
		}
		ModelRoute route = new ModelRoute(id, base);
		this.routes.put(id, route);
		List<BackendState> ready = new ArrayList<>();
		for (BackendState backend : this.backends.values()) {
			if (backend.isReady(id)) {
				ready.add(backend);
			}
		}
		this.readyBackends.put(route, ready);
		return route;
	}

	/**
	 * Adds a sent request to the send rates.
	 * @param priority the priority class
	 * @param cost the estimated tokens
	 * @param now the current time in nanoseconds
	 */
	void recordSend(PriorityClass priority, int cost, long now) {
		this.rate.add(cost, now);
		if (priority == PriorityClass.URGENT) {
			this.urgentSendRate.add(cost, now);
		}
	}

	/**
	 * Returns the level of urgent demand.
	 * @param now the current time in nanoseconds
	 * @return 0 without urgent requests, 1 if they make up a tenth of the tokens or more
	 */
	double urgentDemand(long now) {
		double all = this.rate.perSecond(now);
		return (all > 0) ? Math.min(1, URGENT_DEMAND_FACTOR * this.urgentSendRate.perSecond(now) / all) : 0;
	}

	/**
	 * Returns the target for the time between tokens on an engine that runs a request.
	 * All requests in a batch are decoded at the same speed, so the urgent target applies
	 * to the other classes as well while urgent requests are common.
	 * @param priority the class of the request
	 * @param now the current time in nanoseconds
	 * @return the target in nanoseconds
	 */
	double betweenTokensTargetNanos(PriorityClass priority, long now) {
		PriorityClass tightest = (urgentDemand(now) > 0.5) ? PriorityClass.URGENT : priority;
		return this.template.classes().get(tightest).betweenTokens().toNanos();
	}

	/**
	 * Returns whether a dispatch may have something to do as time goes by.
	 * @return whether a request waits or a server is suspect or paused
	 */
	boolean isDispatchTimed() {
		return !this.queue.isEmpty() || !this.suspects.isEmpty() || !this.pausedBackends.isEmpty();
	}

	/**
	 * Returns the route of a request.
	 * @param organisation the organisation
	 * @param request the request
	 * @return the route, null if the organisation may not use the model
	 */
	ModelRoute route(OrganisationQueue organisation, TrafficRequest request) {
		if (isPlain()) {
			return this.plainRoute;
		}
		return request.model().isPresent() ? organisation.models.get(request.model().get()) : null;
	}

	/**
	 * Returns a backend server.
	 * @param id the backend server
	 * @return the state, null if the server is unknown
	 */
	BackendState findBackend(BackendServerId id) {
		return this.backends.get(id);
	}

	/**
	 * Returns all backend servers.
	 * @return the states in the order in which the servers first appeared
	 */
	Iterable<BackendState> backends() {
		return this.backends.values();
	}

	/**
	 * Applies the latest state of a backend server and adds the server if it is new.
	 * @param view the latest state
	 * @param now the current time in nanoseconds
	 * @return the state of the backend server
	 */
	BackendState updateBackend(BackendView view, long now) {
		BackendState backend = this.backends.get(view.id());
		boolean isNew = backend == null;
		if (isNew) {
			long hash = mixBits(this.hostHash ^ view.id().value().hashCode() * 0x9E3779B97F4A7C15L);
			backend = new BackendState(view.id(), this.nextIndex++, hash, this.tunables.slowStartDuration().toNanos(),
					this.tunables.maxFirstTokenWait().toNanos(), new ServerSpeed(this.speed));
			this.backends.put(view.id(), backend);
		}
		boolean isRestarted = backend.hasRestarted(view);
		boolean wasAcceptingWork = backend.isAcceptingWork;
		Set<ModelId> readyBefore = backend.ready();
		boolean wasPaceStated = isPaceStated();
		boolean isChanged = backend.update(view, now) || isNew;
		if (wasPaceStated != isPaceStated()) {
			this.plainRoute.isStale = true;
			this.routes.values().forEach((route) -> route.isStale = true);
		}
		if (isRestarted) {
			backend.cacheEpoch++;
			backend.forgetFailures(now);
			backend.pausedUntilNanos = now;
			isChanged |= resumeIfDue(backend, now);
		}
		isChanged |= readmitIfDue(backend, now,
				isRestarted || (!wasAcceptingWork && backend.isAcceptingWork && !isNew));
		if (isChanged) {
			updateReadyBackends(backend, readyBefore);
		}
		return backend;
	}

	private boolean readmitIfDue(BackendState backend, long now, boolean isRecovered) {
		boolean wasSuspect = backend.isSuspect;
		if (wasSuspect && backend.isAcceptingWork && now >= backend.suspectUntilNanos) {
			backend.isSuspect = false;
			this.suspects.remove(backend);
			this.availabilityListener.onReadmitted(backend.id);
		}
		if (isRecovered || wasSuspect != backend.isSuspect) {
			backend.beginSlowStart(now);
		}
		return wasSuspect != backend.isSuspect;
	}

	/**
	 * Readmits the suspect backend servers whose time is over.
	 * @param now the current time in nanoseconds
	 * @return the readmitted backend servers
	 */
	List<BackendState> readmitDue(long now) {
		List<BackendState> readmitted = new ArrayList<>();
		for (BackendState backend : List.copyOf(this.suspects)) {
			if (readmitIfDue(backend, now, false)) {
				updateReadyBackends(backend, Set.of());
				readmitted.add(backend);
			}
		}
		return readmitted;
	}

	/**
	 * Gives a backend server no requests for some time.
	 * @param backend the backend server
	 * @param pause the time from now
	 * @param now the current time in nanoseconds
	 */
	void pause(BackendState backend, Duration pause, long now) {
		long untilNanos = now + pause.toNanos();
		if (backend.isRemoved || (backend.isPaused && untilNanos - backend.pausedUntilNanos <= 0)) {
			return;
		}
		if (!backend.isPaused) {
			backend.isPaused = true;
			this.pausedBackends.add(backend);
			updateReadyBackends(backend, Set.of());
		}
		backend.pausedUntilNanos = untilNanos;
		this.availabilityListener.onPaused(backend.id, pause);
	}

	/**
	 * Ends the pauses that are over.
	 * @param now the current time in nanoseconds
	 * @return the backend servers that may get requests again
	 */
	List<BackendState> resumeDue(long now) {
		List<BackendState> resumed = new ArrayList<>();
		for (BackendState backend : List.copyOf(this.pausedBackends)) {
			if (resumeIfDue(backend, now)) {
				updateReadyBackends(backend, Set.of());
				resumed.add(backend);
			}
		}
		return resumed;
	}

	private boolean resumeIfDue(BackendState backend, long now) {
		if (!backend.isPaused || now - backend.pausedUntilNanos < 0) {
			return false;
		}
		backend.isPaused = false;
		this.pausedBackends.remove(backend);
		this.availabilityListener.onResumed(backend.id);
		return true;
	}

	/**
	 * Returns the time until a route has a candidate again, if it has none because
	 * backend servers have asked for no requests.
	 * @param route the route
	 * @param now the current time in nanoseconds
	 * @return the time, empty if the route has a candidate or none that is paused
	 */
	Optional<Duration> timeUntilResumed(ModelRoute route, long now) {
		if (this.pausedBackends.isEmpty() || isReachable(route)) {
			return Optional.empty();
		}
		return this.pausedBackends.stream()
			.filter((backend) -> backend.isAcceptingWork && canServe(backend, route))
			.map((backend) -> Duration.ofNanos(Math.max(0, backend.pausedUntilNanos - now)))
			.min(Comparator.naturalOrder());
	}

	/**
	 * Returns the time until a route has a candidate again, if it has none because its
	 * backend servers are paused or suspect.
	 * @param route the route
	 * @param now the current time in nanoseconds
	 * @return the time, empty if no server that is paused or suspect can serve the route
	 */
	Optional<Duration> timeUntilUsable(ModelRoute route, long now) {
		long earliest = Long.MAX_VALUE;
		for (BackendState backend : this.pausedBackends) {
			if (backend.isAcceptingWork && canServe(backend, route)) {
				earliest = Math.min(earliest, backend.pausedUntilNanos);
			}
		}
		for (BackendState backend : this.suspects) {
			if (backend.isAcceptingWork && canServe(backend, route)) {
				earliest = Math.min(earliest, backend.suspectUntilNanos);
			}
		}
		return (earliest == Long.MAX_VALUE) ? Optional.empty()
				: Optional.of(Duration.ofNanos(Math.max(0, earliest - now)));
	}

	private boolean canServe(BackendState backend, ModelRoute route) {
		return route == this.plainRoute || backend.isReady(route.model)
				|| (route.base != null && backend.isReady(route.base.model));
	}

	private void updateReadyBackends(BackendState backend, Set<ModelId> readyBefore) {
		for (ModelId model : readyBefore) {
			setReadyBackend(model, backend, backend.isReady(model));
		}
		for (ModelId model : backend.ready()) {
			setReadyBackend(model, backend, true);
		}
		this.plainRoute.isStale = true;
	}

	private void setReadyBackend(ModelId model, BackendState backend, boolean isReady) {
		ModelRoute route = this.routes.get(model);
		if (route == null) {
			return;
		}
		List<BackendState> ready = this.readyBackends.get(route);
		if (!isReady) {
			ready.remove(backend);
		}
		else if (!ready.contains(backend)) {
			ready.add(backend);
		}
		route.isStale = true;
	}

	/**
	 * Marks a backend server as suspect after failures. The suspicion lasts longer with
	 * each failure in a row.
	 * @param backend the backend server
	 * @param now the current time in nanoseconds
	 */
	void markSuspect(BackendState backend, long now) {
		if (backend.isRemoved) {
			return;
		}
		int doublings = Math.min(4, backend.consecutiveFailures - 1);
		Duration duration = this.tunables.suspectDuration().multipliedBy(1L << doublings);
		backend.suspectUntilNanos = now + duration.toNanos();
		backend.suspectedNanos = now;
		backend.isSuspect = true;
		this.suspects.add(backend);
		this.availabilityListener.onSuspected(backend.id, backend.consecutiveFailures, duration);
		updateReadyBackends(backend, Set.of());
	}

	/**
	 * Removes a backend server.
	 * @param id the backend server; unknown ones are ignored
	 */
	void removeBackend(BackendServerId id) {
		BackendState backend = this.backends.remove(id);
		if (backend == null) {
			return;
		}
		backend.isRemoved = true;
		this.suspects.remove(backend);
		this.pausedBackends.remove(backend);
		for (ModelId model : backend.ready()) {
			setReadyBackend(model, backend, false);
		}
		this.plainRoute.isStale = true;
	}

	/**
	 * Unblocks the queues whose requests the backend server may now have capacity for.
	 * @param backend the backend server
	 */
	void unblock(BackendState backend) {
		if (isPlain()) {
			this.plainRoute.unblock();
			return;
		}
		for (ModelId model : backend.ready()) {
			ModelRoute route = this.routes.get(model);
			if (route != null) {
				route.unblock();
			}
		}
	}

	/**
	 * Returns the candidates of a route, limited to the subset of this daemon.
	 * @param route the route
	 * @return the usable backend servers
	 */
	BackendState[] candidates(ModelRoute route) {
		if (route.isStale) {
			Iterable<BackendState> all = (route == this.plainRoute) ? this.backends.values()
					: this.readyBackends.get(route);
			List<BackendState> usable = new ArrayList<>();
			for (BackendState backend : all) {
				if (backend.isUsable()) {
					usable.add(backend);
				}
			}
			route.usableCount = usable.size();
			route.candidates = selectSubset(usable);
			route.nearCount = this.speed.isPaceStated ? moveNearToFront(route.candidates) : route.candidates.length;
			route.isStale = false;
		}
		return route.candidates;
	}

	private int moveNearToFront(BackendState[] candidates) {
		Arrays.sort(candidates, Comparator.comparing((backend) -> !isNear(backend)));
		int count = 0;
		while (count < candidates.length && isNear(candidates[count])) {
			count++;
		}
		return count;
	}

	private boolean isNear(BackendState backend) {
		return this.dataCentre.equals(backend.dataCentre);
	}

	/**
	 * Returns whether any backend server has stated how long work takes on its machine.
	 * The choice of servers takes account of speeds and data centres from then on.
	 * @return true from the first pace other than the usual one on
	 */
	boolean isPaceStated() {
		return this.speed.isPaceStated;
	}

	/**
	 * Returns whether any backend server can serve a model now.
	 * @param route the route
	 * @return true if the model, or the base model of an adapter, has a candidate
	 */
	boolean isReachable(ModelRoute route) {
		return candidates(route).length > 0 || (route.base != null && candidates(route.base).length > 0);
	}

	/**
	 * Returns whether a request avoids all its candidates.
	 * @param pending the request
	 * @return true if all failed it; false if there is no candidate, since one may be
	 * added later
	 */
	boolean isOutOfCandidates(PendingRequest pending) {
		ModelRoute route = (pending.flow.route.base != null) ? pending.flow.route.base : pending.flow.route;
		BackendState[] all = candidates(route);
		for (BackendState candidate : all) {
			if (!pending.isAvoided(candidate.id)) {
				return false;
			}
		}
		return all.length > 0;
	}

	private BackendState[] selectSubset(List<BackendState> usable) {
		BackendState[] all = usable.toArray(new BackendState[0]);
		if (all.length <= this.tunables.subsetSize()) {
			return all;
		}
		// Rendezvous hashing gives the daemons different subsets, and each subset changes
		// little when servers are added or removed.
		Arrays.sort(all, Comparator.comparingLong((backend) -> backend.rendezvousHash));
		return Arrays.copyOf(all, this.tunables.subsetSize());
	}

	/**
	 * Mixes the bits of a hash.
	 * @param value the hash
	 * @return the mixed hash
	 */
	static long mixBits(long value) {
		long z = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
		z = (z ^ (z >>> 33)) * 0xc4ceb9fe1a85ec53L;
		return z ^ (z >>> 33);
	}

}
