package org.celeryhill.measure;

import java.util.Locale;

import org.celeryhill.base.DataCentre;
import org.celeryhill.base.HostId;
import org.celeryhill.traffic.DefaultTrafficController;
import org.celeryhill.traffic.TrafficController;
import org.celeryhill.traffic.TrafficTunables;

/**
 * Combination of traffic controller and placement for a run. Immutable and thread-safe.
 */
enum Policy {

	/** Traffic controller and planner of the system. */
	CELERYHILL {

		@Override
		TrafficController createController(HostId host, DataCentre dataCentre, long seed) {
			return DefaultTrafficController.create(host, dataCentre, "1", seed, TrafficTunables.DEFAULTS);
		}

		@Override
		PlacementPolicy createPlacement(StaticPlacement initial) {
			return new PlannedPlacement();
		}

		@Override
		int queueRank(Job job) {
			return job.priority.ordinal();
		}

	},

	/** Traffic controller of the system with a placement that never changes. */
	STATIC_PLACEMENT {

		@Override
		TrafficController createController(HostId host, DataCentre dataCentre, long seed) {
			return CELERYHILL.createController(host, dataCentre, seed);
		}

		@Override
		PlacementPolicy createPlacement(StaticPlacement initial) {
			return initial;
		}

		@Override
		int queueRank(Job job) {
			return job.priority.ordinal();
		}

	},

	/** Static, even placement and least-outstanding routing in order of arrival. */
	BASELINE {

		@Override
		TrafficController createController(HostId host, DataCentre dataCentre, long seed) {
			return new LeastOutstandingController(host, dataCentre);
		}

		@Override
		PlacementPolicy createPlacement(StaticPlacement initial) {
			return initial;
		}

		@Override
		int queueRank(Job job) {
			return 0;
		}

	};

	/**
	 * Creates the traffic controller of a host.
	 * @param host the host of the controller
	 * @param dataCentre the data centre of the host
	 * @param seed the seed of the controller's random choices
	 * @return the controller
	 */
	abstract TrafficController createController(HostId host, DataCentre dataCentre, long seed);

	/**
	 * Creates the placement policy of a run.
	 * @param initial the placement at the start of the run
	 * @return the placement policy
	 */
	abstract PlacementPolicy createPlacement(StaticPlacement initial);

	/**
	 * Returns the rank of a job in the queue of an engine.
	 * @param job the job to rank
	 * @return the rank, lower ranks run first
	 */
	abstract int queueRank(Job job);

	/**
	 * Returns the name of the policy for the command line.
	 * @return the name in lower case with hyphens
	 */
	String toLabel() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
