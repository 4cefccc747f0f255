package org.celeryhill.measure;

import java.util.Locale;

import org.celeryhill.base.DataCentre;
import org.celeryhill.base.HostId;
import org.celeryhill.traffic.DefaultTrafficController;
import org.celeryhill.traffic.TrafficController;
import org.celeryhill.traffic.TrafficTunables;

/**
 * What decides during a run. Immutable and thread-safe.
 */
enum Policy {

	/** Traffic controller and planner under measurement. */
	CELERYHILL {

		@Override
		TrafficController controller(HostId host, DataCentre dataCentre, long seed) {
			return DefaultTrafficController.create(host, dataCentre, "1", seed, TrafficTunables.DEFAULTS);
		}

		@Override
		PlacementPolicy placement(StaticPlacement initial) {
			return new PlannedPlacement();
		}

		@Override
		int rank(Job job) {
			return job.priority.ordinal();
		}

	},

	/** Traffic controller under measurement with a placement that never changes. */
	STATIC_PLACEMENT {

		@Override
		TrafficController controller(HostId host, DataCentre dataCentre, long seed) {
			return CELERYHILL.controller(host, dataCentre, seed);
		}

		@Override
		PlacementPolicy placement(StaticPlacement initial) {
			return initial;
		}

		@Override
		int rank(Job job) {
			return job.priority.ordinal();
		}

	},

	/** Static even placement and least-outstanding routing in order of arrival. */
	BASELINE {

		@Override
		TrafficController controller(HostId host, DataCentre dataCentre, long seed) {
			return new LeastOutstandingController(host, dataCentre);
		}

		@Override
		PlacementPolicy placement(StaticPlacement initial) {
			return initial;
		}

		@Override
		int rank(Job job) {
			return 0;
		}

	};

	/**
	 * Returns a controller.
	 * @param host the host
	 * @param dataCentre its data centre
	 * @param seed the seed
	 * @return the controller
	 */
	abstract TrafficController controller(HostId host, DataCentre dataCentre, long seed);

	/**
	 * Returns the placement.
	 * @param initial the placement at the start of the run
	 * @return the policy
	 */
	abstract PlacementPolicy placement(StaticPlacement initial);

	/**
	 * Returns the position of a job in an engine's order of service.
	 * @param job the job
	 * @return the rank, lower goes first
	 */
	abstract int rank(Job job);

	/**
	 * Returns the name for the command line.
	 * @return the name in lower case with hyphens
	 */
	String toLabel() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
