package org.celeryhill.fake;

import java.time.Duration;
import java.util.Objects;

/**
 * Speed and limits of a fake engine. Immutable and thread-safe.
 *
 * @param slots the most streams in one batch, positive
 * @param kvTokens the KV cache for running streams, in tokens, positive
 * @param cacheTokens the prompt prefix cache, in tokens, zero or more
 * @param maxQueue the most requests that wait, zero or more
 * @param prefillTokensPerSecond the prefill rate, in tokens a second, positive
 * @param decodeStep the time of a decode step without streams, not null
 * @param stepTimePerStream what each stream in the batch adds to a step, not null
 * @param reportLag how far reports and cache events lag, not null, positive
 * @param cacheEventLossProbability the probability that a cache event is lost, from 0 to 1
 */
public record FakeEngineSettings(int slots, long kvTokens, long cacheTokens, int maxQueue,
		double prefillTokensPerSecond, Duration decodeStep, Duration stepTimePerStream, Duration reportLag,
		double cacheEventLossProbability) {

	/**
	 * Creates settings.
	 * @throws IllegalArgumentException if a figure is out of its range
	 */
	public FakeEngineSettings {
		Objects.requireNonNull(decodeStep, "decodeStep");
		Objects.requireNonNull(stepTimePerStream, "stepPerStream");
		Objects.requireNonNull(reportLag, "reportLag");
		if (slots <= 0 || kvTokens <= 0 || cacheTokens < 0 || maxQueue < 0 || !(prefillTokensPerSecond > 0)
				|| reportLag.isZero() || reportLag.isNegative() || !(cacheEventLossProbability >= 0 && cacheEventLossProbability <= 1)) {
			throw new IllegalArgumentException("figure of a fake engine out of range");
		}
	}

	/**
	 * Returns the defaults: 64 slots, 200,000 KV tokens, 50,000 cached tokens, 256
	 * waiting requests, 20,000 prefill tokens a second, 15 ms for a step and 0.1 ms for
	 * each stream, 500 ms lag, one cache event in 20 lost.
	 * @return the settings, never null
	 */
	public static FakeEngineSettings defaults() {
		return new FakeEngineSettings(64, 200_000, 50_000, 256, 20_000, Duration.ofMillis(15),
				Duration.ofNanos(100_000), Duration.ofMillis(500), 0.05);
	}

	/**
	 * Returns a copy with other step times.
	 * @param step the time of a decode step without streams, not null
	 * @param perStream what each stream adds, not null
	 * @return the copy, never null
	 */
	public FakeEngineSettings withStepTimes(Duration step, Duration perStream) {
		return new FakeEngineSettings(this.slots, this.kvTokens, this.cacheTokens, this.maxQueue,
				this.prefillTokensPerSecond, step, perStream, this.reportLag, this.cacheEventLossProbability);
	}

	/**
	 * Returns a copy with other limits of the batch.
	 * @param newSlots the most streams in one batch, positive
	 * @param newKvTokens the KV cache in tokens, positive
	 * @param newMaxQueue the most requests that wait, zero or more
	 * @return the copy, never null
	 */
	public FakeEngineSettings withBatchLimits(int newSlots, long newKvTokens, int newMaxQueue) {
		return new FakeEngineSettings(newSlots, newKvTokens, this.cacheTokens, newMaxQueue, this.prefillTokensPerSecond,
				this.decodeStep, this.stepTimePerStream, this.reportLag, this.cacheEventLossProbability);
	}

	/**
	 * Returns a copy with another prefill rate.
	 * @param tokensPerSecond the rate in tokens a second, positive
	 * @return the copy, never null
	 */
	public FakeEngineSettings withPrefillRate(double tokensPerSecond) {
		return new FakeEngineSettings(this.slots, this.kvTokens, this.cacheTokens, this.maxQueue, tokensPerSecond,
				this.decodeStep, this.stepTimePerStream, this.reportLag, this.cacheEventLossProbability);
	}

	/**
	 * Returns a copy with other properties of reports and cache events.
	 * @param lag how far they lag, not null, positive
	 * @param gap the probability that a cache event is lost, from 0 to 1
	 * @return the copy, never null
	 */
	public FakeEngineSettings withReportProperties(Duration lag, double gap) {
		return new FakeEngineSettings(this.slots, this.kvTokens, this.cacheTokens, this.maxQueue,
				this.prefillTokensPerSecond, this.decodeStep, this.stepTimePerStream, lag, gap);
	}

}
