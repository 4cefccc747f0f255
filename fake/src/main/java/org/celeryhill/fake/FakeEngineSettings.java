package org.celeryhill.fake;

import java.time.Duration;
import java.util.Objects;

/**
 * Speed and limits of a fake engine. Immutable and thread-safe.
 *
 * @param slots the largest number of streams in one batch, positive
 * @param kvTokens the size of the KV cache for running streams, in tokens, positive
 * @param cacheTokens the size of the prompt prefix cache, in tokens, zero or more
 * @param maxQueue the largest number of waiting requests while the batch is full, zero or
 * more
 * @param prefillTokensPerSecond the prefill rate, in tokens a second, positive
 * @param decodeStep the base duration of a decode step, without streams, not null
 * @param stepTimePerStream the time that each stream in the batch adds to a step, not
 * null
 * @param reportLag the delay of reports and cache events, not null, positive
 * @param cacheEventLossProbability the probability that a cache event is lost, from 0 to
 * 1
 */
public record FakeEngineSettings(int slots, long kvTokens, long cacheTokens, int maxQueue,
		double prefillTokensPerSecond, Duration decodeStep, Duration stepTimePerStream, Duration reportLag,
		double cacheEventLossProbability) {

	/**
	 * Creates settings.
	 * @throws IllegalArgumentException if a number is out of its range
	 */
	public FakeEngineSettings {
		Objects.requireNonNull(decodeStep, "decodeStep");
		Objects.requireNonNull(stepTimePerStream, "stepTimePerStream");
		Objects.requireNonNull(reportLag, "reportLag");
		if (slots <= 0 || kvTokens <= 0 || cacheTokens < 0 || maxQueue < 0 || !(prefillTokensPerSecond > 0)
				|| reportLag.isZero() || reportLag.isNegative()
				|| !(cacheEventLossProbability >= 0 && cacheEventLossProbability <= 1)) {
			throw new IllegalArgumentException("setting of a fake engine out of range");
		}
	}

	/**
	 * Returns the defaults: 64 slots, 200,000 KV tokens, 50,000 cached tokens, 256
	 * waiting requests, 20,000 prefill tokens a second, steps of 15 ms and 0.1 ms more
	 * for each stream, a report lag of 500 ms, and one cache event in 20 lost.
	 * @return the settings, never null
	 */
	public static FakeEngineSettings defaults() {
		return new FakeEngineSettings(64, 200_000, 50_000, 256, 20_000, Duration.ofMillis(15),
				Duration.ofNanos(100_000), Duration.ofMillis(500), 0.05);
	}

	/**
	 * Returns a copy with other step times.
	 * @param step the base duration of a decode step, without streams, not null
	 * @param perStream the time that each stream adds to a step, not null
	 * @return the copy, never null
	 */
	public FakeEngineSettings withStepTimes(Duration step, Duration perStream) {
		return new FakeEngineSettings(this.slots, this.kvTokens, this.cacheTokens, this.maxQueue,
				this.prefillTokensPerSecond, step, perStream, this.reportLag, this.cacheEventLossProbability);
	}

	/**
	 * Returns a copy with other limits of the batch.
	 * @param newSlots the largest number of streams in one batch, positive
	 * @param newKvTokens the size of the KV cache, in tokens, positive
	 * @param newMaxQueue the largest number of waiting requests, zero or more
	 * @return the copy, never null
	 */
	public FakeEngineSettings withBatchLimits(int newSlots, long newKvTokens, int newMaxQueue) {
		return new FakeEngineSettings(newSlots, newKvTokens, this.cacheTokens, newMaxQueue, this.prefillTokensPerSecond,
				this.decodeStep, this.stepTimePerStream, this.reportLag, this.cacheEventLossProbability);
	}

	/**
	 * Returns a copy with another prefill rate.
	 * @param tokensPerSecond the prefill rate, in tokens a second, positive
	 * @return the copy, never null
	 */
	public FakeEngineSettings withPrefillRate(double tokensPerSecond) {
		return new FakeEngineSettings(this.slots, this.kvTokens, this.cacheTokens, this.maxQueue, tokensPerSecond,
				this.decodeStep, this.stepTimePerStream, this.reportLag, this.cacheEventLossProbability);
	}

	/**
	 * Returns a copy with other properties of reports and cache events.
	 * @param lag the delay of reports and cache events, not null, positive
	 * @param gap the probability that a cache event is lost, from 0 to 1
	 * @return the copy, never null
	 */
	public FakeEngineSettings withReportProperties(Duration lag, double gap) {
		return new FakeEngineSettings(this.slots, this.kvTokens, this.cacheTokens, this.maxQueue,
				this.prefillTokensPerSecond, this.decodeStep, this.stepTimePerStream, lag, gap);
	}

}
