package org.celeryhill.measure;

import java.util.Locale;

/**
 * Scenarios of a run, each with its demand over time and its failures. Immutable and
 * thread-safe.
 */
enum Scenario {

	/** Bursty demand for models of heavy-tailed popularity, without failures. */
	STEADY(0.7, 900) {
	},

	/** The demand for two models of each organisation grows tenfold at once. */
	SHIFT(0.6, 900) {

		@Override
		double modelDemandFactor(int organisation, int rank, double seconds) {
			return (seconds >= EVENT_SECONDS && (rank == 4 || rank == 7)) ? 10 : 1;
		}

	},

	/** Additional batch requests that alone need three times the capacity. */
	OVERLOAD_BATCH(0.6, 700) {

		@Override
		double extraRequestsPerSecond(Deployment deployment, int organisation, RequestKind kind, double seconds) {
			boolean isExtra = kind == RequestKind.BATCH && isOverload(seconds);
			return isExtra ? OVERLOAD_FACTOR * kind.capacity() * deployment.engines / deployment.organisations.size()
					: 0;
		}

	},

	/**
	 * Additional urgent requests of the first organisation that alone need three times
	 * the capacity.
	 */
	OVERLOAD_URGENT(0.6, 700) {

		@Override
		double extraRequestsPerSecond(Deployment deployment, int organisation, RequestKind kind, double seconds) {
			boolean isExtra = organisation == 0 && kind == RequestKind.URGENT && isOverload(seconds);
			return isExtra ? OVERLOAD_FACTOR * kind.capacity() * deployment.engines : 0;
		}

	},

	/** Bookings arrive at three times the capacity of the plain service. */
	OVERLOAD_BOOKINGS(0.5, 600) {

		@Override
		double callRateFactor(Deployment deployment, double seconds) {
			double capacity = deployment.plainServers * Deployment.MAX_CALLS_PER_PLAIN_SERVER
					/ SimulatedPlainServer.MEAN_CALL_SECONDS;
			return isOverload(seconds) ? OVERLOAD_FACTOR * capacity / Workload.totalCallsPerSecond(deployment) : 1;
		}

	},

	/**
	 * Load of 1.5 times the capacity, with separate entry hosts for each organisation.
	 */
	FAIR_HOSTS(1.5, 600) {

		@Override
		boolean isHostAllowed(int organisation, int host, int hosts) {
			int owner = (host == 0) ? 0 : (host <= hosts / 2) ? 1 : 2;
			return owner == organisation;
		}

	},

	/** One engine fails and restarts empty after 200 s. */
	ENGINE_LOSS(0.6, 800) {

		@Override
		void scheduleFailures(Simulation run) {
			run.scheduleEngineLoss(1, EVENT_SECONDS);
			run.scheduleEngineRestart(1, EVENT_SECONDS + 200);
		}

	},

	/** All servers and entry hosts of a data centre fail for 200 s. */
	DATA_CENTRE_LOSS(0.5, 800) {

		@Override
		void scheduleFailures(Simulation run) {
			run.scheduleDataCentreLoss(1, EVENT_SECONDS, EVENT_SECONDS + 200);
		}

	},

	/** The table service is down for 10 minutes, during which an engine fails. */
	TABLE_DOWN(0.6, 1200) {

		@Override
		void scheduleFailures(Simulation run) {
			run.scheduleTableOutage(EVENT_SECONDS, EVENT_SECONDS + 600);
			run.scheduleEngineLoss(2, EVENT_SECONDS + 100);
			run.scheduleEngineRestart(2, EVENT_SECONDS + 400);
		}

	},

	/** The host list is 30 s late while an engine drains, stops and restarts. */
	LATE_HOST_LIST(0.6, 700) {

		@Override
		long hostListLagNanos() {
			return 30_000_000_000L;
		}

		@Override
		void scheduleFailures(Simulation run) {
			run.scheduleEngineDrain(0, EVENT_SECONDS);
			run.scheduleEngineRestart(0, EVENT_SECONDS + 200);
		}

	},

	/**
	 * Late host list, engine drain, engine loss, table outage, demand shift and batch
	 * overload together.
	 */
	SEVERAL(0.5, 900) {

		@Override
		double extraRequestsPerSecond(Deployment deployment, int organisation, RequestKind kind, double seconds) {
			return OVERLOAD_BATCH.extraRequestsPerSecond(deployment, organisation, kind, seconds);
		}

		@Override
		double modelDemandFactor(int organisation, int rank, double seconds) {
			return SHIFT.modelDemandFactor(organisation, rank, seconds);
		}

		@Override
		long hostListLagNanos() {
			return 30_000_000_000L;
		}

		@Override
		void scheduleFailures(Simulation run) {
			run.scheduleTableOutage(EVENT_SECONDS + 20, EVENT_SECONDS + 200);
			run.scheduleEngineDrain(0, EVENT_SECONDS + 10);
			run.scheduleEngineLoss(4, EVENT_SECONDS + 60);
			run.scheduleEngineRestart(0, EVENT_SECONDS + 300);
			run.scheduleEngineRestart(4, EVENT_SECONDS + 300);
		}

	};

	/** Time at which the failure or overload of a scenario starts, in seconds. */
	static final double EVENT_SECONDS = 300;

	/** Time at which an overload ends, in seconds. */
	static final double OVERLOAD_END_SECONDS = 500;

	/** Time from which arrivals are measured, in seconds. */
	static final double WARM_UP_SECONDS = 120;

	/** Demand of an overload, relative to the capacity. */
	private static final double OVERLOAD_FACTOR = 3;

	/** Load relative to the capacity of the fleet. */
	final double load;

	/** Time during which requests arrive, in seconds. */
	final double seconds;

	Scenario(double load, double seconds) {
		this.load = load;
		this.seconds = seconds;
	}

	/**
	 * Returns the factor on the demand for a model. The total demand does not change.
	 * @param organisation the position of the organisation
	 * @param rank the rank of the model by popularity, 0 for the most popular
	 * @param seconds the time in seconds
	 * @return the factor, 1 for the usual demand
	 */
	double modelDemandFactor(int organisation, int rank, double seconds) {
		return 1;
	}

	/**
	 * Returns the rate of additional requests.
	 * @param deployment the simulated deployment
	 * @param organisation the position of the organisation
	 * @param kind the kind of the requests
	 * @param seconds the time in seconds
	 * @return the rate in requests per second
	 */
	double extraRequestsPerSecond(Deployment deployment, int organisation, RequestKind kind, double seconds) {
		return 0;
	}

	/**
	 * Returns the factor on the rate of plain calls.
	 * @param deployment the simulated deployment
	 * @param seconds the time in seconds
	 * @return the factor, 1 for the usual rate
	 */
	double callRateFactor(Deployment deployment, double seconds) {
		return 1;
	}

	/**
	 * Returns whether an organisation sends requests to a host.
	 * @param organisation the position of the organisation
	 * @param host the position of the host
	 * @param hosts the number of hosts
	 * @return true if the host may get requests of the organisation
	 */
	boolean isHostAllowed(int organisation, int host, int hosts) {
		return true;
	}

	/**
	 * Returns the delay with which the host list shows draining engines.
	 * @return the delay in nanoseconds
	 */
	long hostListLagNanos() {
		return 2_000_000_000L;
	}

	/**
	 * Schedules the failures of the scenario.
	 * @param run the simulation in which they occur
	 */
	void scheduleFailures(Simulation run) {
	}

	static boolean isOverload(double seconds) {
		return seconds >= EVENT_SECONDS && seconds < OVERLOAD_END_SECONDS;
	}

	/**
	 * Returns the name of the scenario for the command line.
	 * @return the name in lower case with hyphens
	 */
	String toLabel() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	/**
	 * Returns the scenario of a name.
	 * @param label the name for the command line
	 * @return the scenario
	 * @throws IllegalArgumentException if there is no scenario of that name
	 */
	static Scenario parse(String label) {
		for (Scenario scenario : values()) {
			if (scenario.toLabel().equals(label)) {
				return scenario;
			}
		}
		throw new IllegalArgumentException("unknown scenario '" + label + "', see 'measure list'");
	}

}
