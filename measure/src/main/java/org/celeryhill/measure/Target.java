package org.celeryhill.measure;

/**
 * Target of section 1.2 of the design page with its measured value. Immutable and
 * thread-safe.
 *
 * @param deployment the deployment in which it was measured, in lower case
 * @param name the description of the target
 * @param bound the bound from the design page
 * @param isAtLeast whether the value must be at least the bound; otherwise it must be
 * below it
 * @param measured the worst value over all seeds
 * @param isMet whether the target is met
 * @param detail the value of each seed and further figures that help to judge them
 */
record Target(String deployment, String name, double bound, boolean isAtLeast, double measured, boolean isMet,
		String detail) {

	/**
	 * Returns a target whose lowest value must be at least the bound.
	 * @param deployment the measured deployment
	 * @param name the description of the target
	 * @param bound the bound from the design page
	 * @param figures the value of each seed
	 * @param detail further figures that help to judge the values, may be empty
	 * @return the target with the lowest value
	 */
	static Target atLeast(Deployment deployment, String name, double bound, double[] figures, String detail) {
		double worst = Double.MAX_VALUE;
		for (double figure : figures) {
			worst = Math.min(worst, figure);
		}
		return new Target(deployment.name().toLowerCase(java.util.Locale.ROOT), name, bound, true, worst,
				worst >= bound, detail + " by seed " + java.util.Arrays.toString(figures));
	}

	/**
	 * Returns a target whose highest value must be below the bound.
	 * @param deployment the measured deployment
	 * @param name the description of the target
	 * @param bound the bound from the design page
	 * @param figures the value of each seed
	 * @param detail further figures that help to judge the values, may be empty
	 * @return the target with the highest value
	 */
	static Target below(Deployment deployment, String name, double bound, double[] figures, String detail) {
		double worst = -Double.MAX_VALUE;
		for (double figure : figures) {
			worst = Math.max(worst, figure);
		}
		return new Target(deployment.name().toLowerCase(java.util.Locale.ROOT), name, bound, false, worst,
				worst < bound, detail + " by seed " + java.util.Arrays.toString(figures));
	}

}
