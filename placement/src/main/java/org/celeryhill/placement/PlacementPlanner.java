package org.celeryhill.placement;

/**
 * Decides which commands to send to the engines of one service. Pure: the same input
 * gives the same plan. Implementations keep what they learn between rounds and are not
 * thread-safe.
 */
public interface PlacementPlanner {

	/**
	 * Plans one round.
	 * @param input what is known now, not null
	 * @return the plan, never null
	 */
	PlacementPlan plan(PlanInput input);

}
