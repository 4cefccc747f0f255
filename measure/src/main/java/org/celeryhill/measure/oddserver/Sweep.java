package org.celeryhill.measure.oddserver;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.ToDoubleBiFunction;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;
import java.util.stream.DoubleStream;

/**
 * Figures of a sweep over shares of odd answers, in one or more rounds.
 *
 * @param rounds the figures of each round, with the shares in the same order, not null
 * and not empty
 */
record Sweep(List<List<ShareFigures>> rounds) {

	/**
	 * Creates a sweep with copies of the lists.
	 * @throws IllegalArgumentException if there is no figure
	 */
	Sweep {
		rounds = rounds.stream().map(List::copyOf).toList();
		if (rounds.isEmpty() || rounds.get(0).isEmpty()) {
			throw new IllegalArgumentException("a sweep needs a round with a share");
		}
	}

	int size() {
		return this.rounds.get(0).size();
	}

	double share(int index) {
		return this.rounds.get(0).get(index).share();
	}

	/**
	 * Returns the median of a figure over the rounds.
	 * @param index the index of the share
	 * @param figure the figure
	 * @return the median; of two rounds their mean
	 */
	double median(int index, ToDoubleFunction<ShareFigures> figure) {
		return medianOfPairs(index, (first, run) -> figure.applyAsDouble(run));
	}

	/**
	 * Returns the own answers relative to those of the first share.
	 * @param index the index of the share
	 * @return the median of the ratios of each round
	 */
	double relativeOwn(int index) {
		return medianOfPairs(index, (first, run) -> run.ownPerSecond() / first.ownPerSecond());
	}

	private double medianOfPairs(int index, ToDoubleBiFunction<ShareFigures, ShareFigures> figure) {
		double[] sorted = this.rounds.stream()
			.flatMapToDouble((round) -> DoubleStream.of(figure.applyAsDouble(round.get(0), round.get(index))))
			.sorted()
			.toArray();
		return (sorted[(sorted.length - 1) / 2] + sorted[sorted.length / 2]) / 2;
	}

	long sum(int index, ToLongFunction<ShareFigures> count) {
		return this.rounds.stream().mapToLong((round) -> count.applyAsLong(round.get(index))).sum();
	}

	/**
	 * Collects labels over all runs.
	 * @param labels returns those of one run
	 * @return the labels in order
	 */
	Set<String> labels(Function<ShareFigures, Set<String>> labels) {
		Set<String> all = new TreeSet<>();
		this.rounds.forEach((round) -> round.forEach((run) -> all.addAll(labels.apply(run))));
		return all;
	}

	boolean isViolated() {
		return this.rounds.stream().flatMap(List::stream).anyMatch(ShareFigures::isViolated);
	}

}
