package org.celeryhill.config;

/**
 * Limits of the weight store that placement observes for one service. Immutable and
 * thread-safe.
 *
 * @param loadsPerSecond the number of model loads that the store allows per second,
 * positive
 * @param loadsAtOnce the number of concurrent model loads that the store serves at full
 * speed, at least 1
 * @param adaptersInTransit the number of concurrent adapter loads over all engines that
 * the store serves at full speed, at least 1
 */
public record PlacementLimits(double loadsPerSecond, int loadsAtOnce, int adaptersInTransit) {

	/**
	 * Creates limits.
	 * @throws IllegalArgumentException if a value is out of its range
	 */
	public PlacementLimits {
		if (!(loadsPerSecond > 0) || loadsAtOnce < 1 || adaptersInTransit < 1) {
			throw new IllegalArgumentException("limits of the weight store must be positive");
		}
	}

}
