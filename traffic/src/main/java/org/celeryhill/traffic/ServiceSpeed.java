package org.celeryhill.traffic;

/**
 * What the servers of one service have in common: the times of this host's own requests,
 * and whether the servers state their pace. Not thread-safe.
 */
final class ServiceSpeed {

	/** Servers whose stated pace takes part in the choice. */
	final PaceScope scope;

	/** Own requests on all servers of the service. */
	final SpeedEstimate times = new SpeedEstimate();

	/**
	 * Whether any server has stated a pace other than the usual one. The choice of
	 * servers takes account of speeds and data centres from then on.
	 */
	boolean isPaceStated;

	/**
	 * Creates what is known of a service without any request.
	 * @param scope the servers whose stated pace takes part in the choice
	 */
	ServiceSpeed(PaceScope scope) {
		this.scope = scope;
	}

}
