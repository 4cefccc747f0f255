package org.celeryhill.measure;

import java.util.Locale;

/**
 * Scenarios: demand over time and failures. Immutable and thread-safe.
 */
enum Scenario {

	/** Bursty demand of heavy-tailed popularity. */
	STEADY(0.7, 900) {
	},

	/** The demand for two models of each organisation grows tenfold at once. */
	SHIFT(0.6, 900) {

		@Override
		double modelFactor(int organisation, int rank, double seconds) {
			return (seconds >= EVENT && (rank == 4 || rank == 7)) ? 10 : 1;
		}

	},

	/** Batch requests alone need three times the capacity. */
	OVERLOAD_BATCH(0.6, 700) {

		@Override
		double extraRate(Deployment deployment, int organisation, RequestKind kind, double seconds) {
			boolean isExtra = kind == RequestKind.BATCH && isOverload(seconds);
			return isExtra ? OVERLOAD * kind.capacity() * deployment.engines / deployment.organisations.size() : 0;
		}

	},

	/** Urgent requests of the first organisation alone need three times the capacity. */
	OVERLOAD_URGENT(0.6, 700) {

		@Override
		double extraRate(Deployment deployment, int organisation, RequestKind kind, double seconds) {
			boolean isExtra = organisation == 0 && kind == RequestKind.URGENT && isOverload(seconds);
			return isExtra ? OVERLOAD * kind.capacity() * deployment.engines : 0;
		}

	},

	/** Bookings arrive at three times the capacity of the plain service. */
	OVERLOAD_BOOKINGS(0.5, 600) {

		@Override
		double callFactor(Deployment deployment, double seconds) {
			double capacity = deployment.plainServers * Deployment.PLAIN_CAPACITY / PlainModel.MEAN_SECONDS;
			return isOverload(seconds) ? OVERLOAD * capacity / Workload.calls(deployment) : 1;
		}

	},

	/** All organisations need half more than the capacity, each through other hosts. */
	FAIR_HOSTS(1.5, 600) {

		@Override
		boolean isHostAllowed(int organisation, int host, int hosts) {
			int owner = (host == 0) ? 0 : (host <= hosts / 2) ? 1 : 2;
			return owner == organisation;
		}

	},

	/** One engine fails and returns empty after 200 s. */
	ENGINE_LOSS(0.6, 800) {

		@Override
		void schedule(Simulation run) {
			run.killEngine(1, EVENT);
			run.restartEngine(1, EVENT + 200);
		}

	},

	/** All servers and entry hosts of a data centre fail for 200 s. */
	DATA_CENTRE_LOSS(0.5, 800) {

		@Override
		void schedule(Simulation run) {
			run.killDataCentre(1, EVENT, EVENT + 200);
		}

	},

	/** The table service is down for 10 minutes, an engine fails meanwhile. */
	TABLE_DOWN(0.6, 1200) {

		@Override
		void schedule(Simulation run) {
			run.tableDown(EVENT, EVENT + 600);
			run.killEngine(2, EVENT + 100);
			run.restartEngine(2, EVENT + 400);
		}

	},

	/** The host list is 30 s late while an engine drains, stops and returns. */
	LATE_HOST_LIST(0.6, 700) {

		@Override
		long hostListLag() {
			return 30_000_000_000L;
		}

		@Override
		void schedule(Simulation run) {
			run.drainEngine(0, EVENT);
			run.restartEngine(0, EVENT + 200);
		}

	},

	/** Late host list, drain, engine loss, table outage, shift and batch overload. */
	SEVERAL(0.5, 900) {

		@Override
		double extraRate(Deployment deployment, int organisation, RequestKind kind, double seconds) {
			return OVERLOAD_BATCH.extraRate(deployment, organisation, kind, seconds);
		}

		@Override
		double modelFactor(int organisation, int rank, double seconds) {
			return SHIFT.modelFactor(organisation, rank, seconds);
		}

		@Override
		long hostListLag() {
			return 30_000_000_000L;
		}

		@Override
		void schedule(Simulation run) {
			run.tableDown(EVENT + 20, EVENT + 200);
			run.drainEngine(0, EVENT + 10);
			run.killEngine(4, EVENT + 60);
			run.restartEngine(0, EVENT + 300);
			run.restartEngine(4, EVENT + 300);
		}

	};

	/** Time of the event of a scenario, in seconds. */
	static final double EVENT = 300;

	/** End of an overload, in seconds. */
	static final double OVERLOAD_END = 500;

	/** Begin of the measured time, in seconds. */
	static final double WARM_UP = 120;

	/** Overload relative to the capacity. */
	private static final double OVERLOAD = 3;

	/** Load relative to the capacity of the fleet. */
	final double load;

	/** Length in seconds. */
	final double seconds;

	Scenario(double load, double seconds) {
		this.load = load;
		this.seconds = seconds;
	}

	/**
	 * Returns the factor on the demand for a model; the total demand stays the same.
	 * @param organisation the position of the organisation
	 * @param rank the rank of the model by popularity, 0 for the first
	 * @param seconds the time in seconds
	 * @return the factor
	 */
	double modelFactor(int organisation, int rank, double seconds) {
		return 1;
	}

	/**
	 * Returns additional requests.
	 * @param deployment the deployment
	 * @param organisation the position of the organisation
	 * @param kind the kind
	 * @param seconds the time in seconds
	 * @return requests per second
	 */
	double extraRate(Deployment deployment, int organisation, RequestKind kind, double seconds) {
		return 0;
	}

	/**
	 * Returns the factor on the plain calls.
	 * @param deployment the deployment
	 * @param seconds the time in seconds
	 * @return the factor
	 */
	double callFactor(Deployment deployment, double seconds) {
		return 1;
	}

	/**
	 * Returns whether an organisation's requests enter through a host.
	 * @param organisation the position of the organisation
	 * @param host the position of the host
	 * @param hosts the number of hosts
	 * @return true if so
	 */
	boolean isHostAllowed(int organisation, int host, int hosts) {
		return true;
	}

	/**
	 * Returns the lag of the host list.
	 * @return nanoseconds
	 */
	long hostListLag() {
		return 2_000_000_000L;
	}

	/**
	 * Schedules the failures.
	 * @param run the run
	 */
	void schedule(Simulation run) {
	}

	static boolean isOverload(double seconds) {
		return seconds >= EVENT && seconds < OVERLOAD_END;
	}

	/**
	 * Returns the name for the command line.
	 * @return the name in lower case with hyphens
	 */
	String toLabel() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	/**
	 * Parses a name.
	 * @param label the name
	 * @return the scenario
	 * @throws IllegalArgumentException if there is none of that name
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
