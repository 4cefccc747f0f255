package org.celeryhill.placement;

/**
 * Decides which commands to send to the engines of one service. A plan depends only on
 * the inputs of this and earlier rounds; implementations keep state between rounds and
 * are not thread-safe.
 */
public interface PlacementPlanner {

	/**
	 * Plans one round.
	 * @param input the engines, demand and configuration of this round, not null
	 * @return the plan, never null
	 */
	PlacementPlan plan(PlanInput input);

}
