package org.celeryhill.measure;

/**
 * One target of section 1.2 of the design page and what was measured. Immutable and
 * thread-safe.
 *
 * @param deployment the deployment
 * @param name the target
 * @param bound the bound from the design page
 * @param isAtLeast whether the figure must be at least the bound, else at most or, for
 * "fewer than", below it
 * @param measured the worst figure over the seeds
 * @param isMet whether the target is met
 * @param detail the figures of each seed and what else is needed to judge them
 */
record Target(String deployment, String name, double bound, boolean isAtLeast, double measured, boolean isMet,
		String detail) {

	/**
	 * Returns a target with a lower bound.
	 * @param deployment the deployment
	 * @param name the target
	 * @param bound the bound
	 * @param figures the figure of each seed
	 * @param detail what else is needed to judge the figures
	 * @return the target with the lowest figure
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
	 * Returns a target with an upper bound that must not be reached.
	 * @param deployment the deployment
	 * @param name the target
	 * @param bound the bound
	 * @param figures the figure of each seed
	 * @param detail what else is needed to judge the figures
	 * @return the target with the highest figure
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
