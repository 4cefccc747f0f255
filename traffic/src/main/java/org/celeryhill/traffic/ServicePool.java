package org.celeryhill.traffic;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.config.ModelSpec;
import org.celeryhill.config.OrganisationParameters;
import org.celeryhill.config.ServiceTemplate;

/**
 * Queue, backend servers and routes of one service. Not thread-safe.
 */
final class ServicePool {

	/** Inverse of the part of the tokens from which urgent requests count as common. */
	private static final double URGENT_COMMON = 10;

	/** Queue of the waiting requests. */
	final FairQueue queue = new FairQueue();

	/** Rate at which requests were sent, in estimated tokens a second. */
	final RateEstimate rate = new RateEstimate();

	/** Rate of the urgent class, in estimated tokens a second. */
	final RateEstimate urgentRate = new RateEstimate();

	/** Template in force. */
	ServiceTemplate template;

	/** Backend servers by id. */
	private final Map<BackendServerId, BackendState> backends = new LinkedHashMap<>();

	/** Routes by model. */
	private final Map<ModelId, ModelRoute> routes = new HashMap<>();

	/** Holders of each model, usable or not. */
	private final Map<ModelRoute, List<BackendState>> holders = new HashMap<>();

	/** Route of the calls of a plain service. */
	private final ModelRoute plainRoute = new ModelRoute(null, null);

	/** Tunables. */
	private final TrafficTunables tunables;

	/** Hash of the daemon, for its subsets. */
	private final long hostHash;

	/** Position of the next backend server. */
	private int nextIndex;

	/**
	 * Creates an empty pool.
	 * @param tunables the tunables
	 * @param hostHash the hash of the daemon
	 */
	ServicePool(TrafficTunables tunables, long hostHash) {
		this.tunables = tunables;
		this.hostHash = hostHash;
	}

	/**
	 * Returns whether a plain service is served.
	 * @return false for model engines
	 */
	boolean isPlain() {
		return this.template.kind() == ServiceTemplate.Kind.PLAIN_SERVICE;
	}

	/**
	 * Puts the parameters of an organisation in force.
	 * @param parameters the parameters
	 */
	void configure(OrganisationParameters parameters) {
		OrganisationQueue one = this.queue.organisation(parameters.organisation());
		one.weight = parameters.weight();
		one.allowed = parameters.classes();
		Map<ModelId, ModelRoute> models = new HashMap<>();
		for (ModelSpec spec : parameters.models()) {
			ModelRoute base = spec.base().map((id) -> route(id, null)).orElse(null);
			models.put(spec.id(), route(spec.id(), base));
		}
		one.models = models;
		for (PriorityClass priority : PriorityClass.values()) {
			one.classes[priority.ordinal()].target = this.template.classes().get(priority);
		}
	}

	private ModelRoute route(ModelId id, ModelRoute base) {
		ModelRoute known = this.routes.get(id);
		if (known != null) {
			return known;
		}
		ModelRoute route = new ModelRoute(id, base);
		this.routes.put(id, route);
		List<BackendState> list = new ArrayList<>();
		for (BackendState backend : this.backends.values()) {
			if (backend.isReady(id)) {
				list.add(backend);
			}
		}
		this.holders.put(route, list);
		return route;
	}

	/**
	 * Counts a request that is sent.
	 * @param priority the class
	 * @param cost the estimated tokens
	 * @param now the time in nanoseconds
	 */
	void sent(PriorityClass priority, int cost, long now) {
		this.rate.add(cost, now);
		if (priority == PriorityClass.URGENT) {
			this.urgentRate.add(cost, now);
		}
	}

	/**
	 * Returns how common urgent requests are.
	 * @param now the time in nanoseconds
	 * @return 0 without urgent requests, 1 from a tenth of the tokens on
	 */
	double urgency(long now) {
		double all = this.rate.perSecond(now);
		return (all > 0) ? Math.min(1, URGENT_COMMON * this.urgentRate.perSecond(now) / all) : 0;
	}

	/**
	 * Returns the target for the time between tokens that an engine has to keep for a
	 * request. All requests in a batch are equally fast, so while urgent requests are
	 * common their target holds for the others as well.
	 * @param priority the class of the request
	 * @param now the time in nanoseconds
	 * @return the target in nanoseconds
	 */
	double betweenTokensNanos(PriorityClass priority, long now) {
		PriorityClass tightest = (urgency(now) > 0.5) ? PriorityClass.URGENT : priority;
		return this.template.classes().get(tightest).betweenTokens().toNanos();
	}

	/**
	 * Returns the route of a request.
	 * @param organisation the organisation
	 * @param request the request
	 * @return the route, null if the organisation does not have the model
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
	 * @return the state, null if it is not known
	 */
	BackendState find(BackendServerId id) {
		return this.backends.get(id);
	}

	/**
	 * Returns all backend servers.
	 * @return the states in order of first appearance
	 */
	Iterable<BackendState> backends() {
		return this.backends.values();
	}

	/**
	 * Takes note of a view.
	 * @param view the view
	 * @param now the time in nanoseconds
	 * @return the state of the backend server
	 */
	BackendState observe(BackendView view, long now) {
		BackendState backend = this.backends.get(view.id());
		boolean isNew = backend == null;
		if (isNew) {
			long hash = mix(this.hostHash ^ view.id().value().hashCode() * 0x9E3779B97F4A7C15L);
			backend = new BackendState(view.id(), this.nextIndex++, hash, this.tunables.slowStartDuration().toNanos(),
					this.tunables.maxFirstTokenWait().toNanos());
			this.backends.put(view.id(), backend);
		}
		boolean isRestarted = backend.isRestartedIn(view);
		boolean wasOpen = backend.isOpen;
		Set<ModelId> before = backend.ready();
		boolean isChanged = backend.update(view) || isNew;
		if (isRestarted) {
			backend.cacheEpoch++;
		}
		isChanged |= readmit(backend, now, isRestarted || (!wasOpen && backend.isOpen && !isNew));
		if (isChanged) {
			rehold(backend, before);
		}
		return backend;
	}

	private boolean readmit(BackendState backend, long now, boolean isBack) {
		boolean wasSuspect = backend.isSuspect;
		if (wasSuspect && backend.isOpen && now >= backend.suspectUntil) {
			backend.isSuspect = false;
		}
		if (isBack || wasSuspect != backend.isSuspect) {
			backend.startSlowly(now);
		}
		return wasSuspect != backend.isSuspect;
	}

	private void rehold(BackendState backend, Set<ModelId> before) {
		for (ModelId model : before) {
			changeHolder(model, backend, backend.isReady(model));
		}
		for (ModelId model : backend.ready()) {
			changeHolder(model, backend, true);
		}
		this.plainRoute.isStale = true;
	}

	private void changeHolder(ModelId model, BackendState backend, boolean isHolder) {
		ModelRoute route = this.routes.get(model);
		if (route == null) {
			return;
		}
		List<BackendState> list = this.holders.get(route);
		if (!isHolder) {
			list.remove(backend);
		}
		else if (!list.contains(backend)) {
			list.add(backend);
		}
		route.isStale = true;
	}

	/**
	 * Marks a backend server suspect after failures.
	 * @param backend the backend server
	 * @param now the time in nanoseconds
	 */
	void suspect(BackendState backend, long now) {
		int doublings = Math.min(4, backend.failures - 1);
		backend.suspectUntil = now + (this.tunables.suspectDuration().toNanos() << doublings);
		backend.isSuspect = true;
		rehold(backend, Set.of());
	}

	/**
	 * Forgets a backend server.
	 * @param id the backend server
	 */
	void forget(BackendServerId id) {
		BackendState backend = this.backends.remove(id);
		if (backend == null) {
			return;
		}
		backend.isForgotten = true;
		for (ModelId model : backend.ready()) {
			changeHolder(model, backend, false);
		}
		this.plainRoute.isStale = true;
	}

	/**
	 * Lets queues try again that a backend server may have room for.
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
			Iterable<BackendState> all = (route == this.plainRoute) ? this.backends.values() : this.holders.get(route);
			List<BackendState> usable = new ArrayList<>();
			for (BackendState backend : all) {
				if (backend.isUsable()) {
					usable.add(backend);
				}
			}
			route.total = usable.size();
			route.candidates = subset(usable);
			route.isStale = false;
		}
		return route.candidates;
	}

	/**
	 * Returns whether a model can be served now.
	 * @param route the route
	 * @return true if the model, or the base model of an adapter, has a candidate
	 */
	boolean isReachable(ModelRoute route) {
		return candidates(route).length > 0 || (route.base != null && candidates(route.base).length > 0);
	}

	/**
	 * Returns whether all candidates of a request have failed it.
	 * @param pending the request
	 * @return false if there is no candidate, since one may come
	 */
	boolean isExhausted(PendingRequest pending) {
		ModelRoute route = (pending.flow.route.base != null) ? pending.flow.route.base : pending.flow.route;
		BackendState[] all = candidates(route);
		for (BackendState one : all) {
			if (!pending.isAvoided(one.id)) {
				return false;
			}
		}
		return all.length > 0;
	}

	private BackendState[] subset(List<BackendState> usable) {
		BackendState[] all = usable.toArray(new BackendState[0]);
		if (all.length <= this.tunables.subsetSize()) {
			return all;
		}
		Arrays.sort(all, Comparator.comparingLong((one) -> one.hash));
		return Arrays.copyOf(all, this.tunables.subsetSize());
	}

	/**
	 * Mixes the bits of a hash.
	 * @param value the hash
	 * @return the mixed hash
	 */
	static long mix(long value) {
		long z = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
		z = (z ^ (z >>> 33)) * 0xc4ceb9fe1a85ec53L;
		return z ^ (z >>> 33);
	}

}
