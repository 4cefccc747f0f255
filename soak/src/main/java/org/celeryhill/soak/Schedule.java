package org.celeryhill.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Faults of a run, in the order of their begin. Immutable; the same seed, duration, kinds
 * and counts give the same schedule.
 *
 * @param steps the faults, not null
 */
record Schedule(List<FaultStep> steps) {

	/** Mean time between two draws; faults last longer, so that they overlap. */
	private static final int MEAN_GAP_MILLIS = 700;

	/** Share of the draws that are a series of the same kind. */
	private static final double SERIES_SHARE = 0.25;

	private static final int MAX_SERIES = 4;

	private static final int MAX_SERIES_GAP_MILLIS = 400;

	Schedule {
		steps = List.copyOf(steps);
	}

	/**
	 * Draws a schedule.
	 * @param seed the seed
	 * @param durationMillis the time in which faults begin and end, in milliseconds
	 * @param kinds the kinds to draw from, not empty
	 * @param daemons the number of daemons
	 * @param servers the number of servers
	 * @return the schedule, never null
	 */
	static Schedule draw(long seed, long durationMillis, Collection<FaultKind> kinds, int daemons, int servers) {
		SplittableRandom random = new SplittableRandom(seed);
		List<FaultKind> weighted = new ArrayList<>();
		kinds.stream().sorted().forEach((kind) -> weighted.addAll(Collections.nCopies(kind.weight(), kind)));
		List<FaultStep> steps = new ArrayList<>();
		for (long at = drawGap(random); at < durationMillis; at += drawGap(random)) {
			FaultKind kind = weighted.get(random.nextInt(weighted.size()));
			int count = (random.nextDouble() < SERIES_SHARE) ? 2 + random.nextInt(MAX_SERIES - 1) : 1;
			long stepAt = at;
			for (int i = 0; i < count && stepAt < durationMillis; i++) {
				long millis = random.nextLong(kind.minMillis(), kind.maxMillis());
				int target = random.nextInt(kind.targetCount(daemons, servers));
				steps.add(new FaultStep(stepAt, kind, target, Math.min(millis, durationMillis - stepAt)));
				stepAt += random.nextInt(MAX_SERIES_GAP_MILLIS);
			}
		}
		steps.sort(Comparator.comparingLong(FaultStep::atMillis));
		return new Schedule(steps);
	}

	private static long drawGap(SplittableRandom random) {
		return 1 + (long) (-Math.log(1 - random.nextDouble()) * MEAN_GAP_MILLIS);
	}

}
