package org.celeryhill.traffic;

import java.util.Map;

/**
 * How fast a backend server works, as far as this host knows: the pace that it states,
 * and the times of this host's own requests. Neutral until a server of the service has
 * stated a pace other than the usual one. Not thread-safe.
 */
final class ServerSpeed {

	/** Pace of a machine on which work takes as long as usual, in percent. */
	static final int USUAL_PACE = 100;

	/**
	 * Time over which stated paces are averaged, in nanoseconds: a few service times of
	 * the shortest requests. What changes faster is over before a request ends.
	 */
	private static final double PACE_NANOS = 250e6;

	/** What is known of all servers of the service. */
	private final ServiceSpeed service;

	/** Own requests on this server. */
	private SpeedEstimate server = new SpeedEstimate();

	/** Stated paces, as a factor; 1 is as usual. */
	private DecayingEstimate pace = new DecayingEstimate(1, PACE_NANOS);

	/**
	 * Creates the speed of a server that has not stated any pace.
	 * @param service what is known of all servers of the service
	 */
	ServerSpeed(ServiceSpeed service) {
		this.service = service;
	}

	/**
	 * Adds the pace that a server states, if it takes part in the choice of servers.
	 * @param view the latest state of the server
	 * @param now the current time in nanoseconds
	 */
	void addPace(BackendView view, long now) {
		if (this.service.scope.includes(view)) {
			addPace(view.pace(), now);
		}
	}

	/**
	 * Adds a stated pace.
	 * @param percent the pace in percent
	 * @param now the current time in nanoseconds
	 */
	void addPace(int percent, long now) {
		this.service.isPaceStated |= percent != USUAL_PACE;
		this.pace.add(percent / (double) USUAL_PACE, now);
	}

	/**
	 * Returns whether a server of the service has stated a pace other than the usual one.
	 * @return false for servers that don't state their pace
	 */
	boolean isStated() {
		return this.service.isPaceStated;
	}

	/** Forgets what is known of an earlier process of the server. */
	void reset() {
		this.server = new SpeedEstimate();
		this.pace = new DecayingEstimate(1, PACE_NANOS);
	}

	/**
	 * Returns the pace expected of the server.
	 * @param now the current time in nanoseconds
	 * @return the factor by which work takes longer than usual on this server
	 */
	double pace(long now) {
		return isStated() ? this.pace.at(now) : 1;
	}

	/**
	 * Adds the time that an own request took.
	 * @param seconds the observed time in seconds
	 * @param expected the time that was expected at its send for a server of average
	 * speed, in any unit
	 * @param now the current time in nanoseconds
	 */
	void addTime(double seconds, double expected, long now) {
		if (isStated()) {
			this.server.add(seconds / expected, now);
			this.service.times.add(seconds / expected, now);
		}
	}

	/**
	 * Returns the factor from the expected time of a server of average speed to that of
	 * this one.
	 * @param now the current time in nanoseconds
	 * @return the factor, 1 for a server that doesn't state its pace
	 */
	double factor(long now) {
		return isStated() ? this.server.factor(this.service.times, now) : 1;
	}

	/**
	 * Returns the factor from the time expected of a server of average speed to the
	 * observed times on all servers of the service.
	 * @param initial the factor before any request has ended
	 * @return the factor
	 */
	double serviceFactor(double initial) {
		return isStated() ? this.service.times.ratio(initial) : initial;
	}

	/**
	 * Adds the speed to the state dump.
	 * @param tree the state of the server
	 * @param now the current time in nanoseconds
	 */
	void addTo(Map<String, Object> tree, long now) {
		if (isStated()) {
			tree.put("pace", this.pace.at(now));
			tree.put("mean_pace", this.pace.mean());
			tree.put("pace_age_ms", this.pace.ageNanos(now) / 1_000_000);
			tree.put("measured_factor", factor(now));
		}
	}

}
