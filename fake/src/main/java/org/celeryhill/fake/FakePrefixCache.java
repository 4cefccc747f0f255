package org.celeryhill.fake;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.celeryhill.base.ModelId;
import org.celeryhill.port.Engine.CacheEvent;

/**
 * Prompt prefix cache of one engine, which evicts the least recently used block. Its
 * events become visible with a delay, and some are lost. Not thread-safe.
 */
final class FakePrefixCache {

	/** Largest number of retained events; older ones are dropped. */
	private static final int MAX_EVENTS = 4096;

	/** Cache size, event delay and loss probability. */
	private final FakeEngineSettings settings;

	/** Random generator that decides which events are lost. */
	private final Random random;

	/** Length of the prefix in tokens by model and hash, least recently used first. */
	private final LinkedHashMap<Prefix, Integer> prefixes = new LinkedHashMap<>(16, 0.75f, true);

	/** Events that were not lost, oldest first. */
	private final Deque<DelayedEvent> events = new ArrayDeque<>();

	/** Sequence number of the last event. */
	private long sequence;

	FakePrefixCache(FakeEngineSettings settings, long seed) {
		this.settings = settings;
		this.random = new Random(seed);
	}

	/**
	 * Returns the length of the longest cached prefix of a text and marks its blocks as
	 * used.
	 * @param model the model, not null
	 * @param text the prompt, not null
	 * @return the length in tokens, a multiple of the block size
	 */
	int cachedTokens(ModelId model, String text) {
		int tokens = 0;
		for (long hash : FakeTokens.prefixHashes(text)) {
			if (this.prefixes.get(new Prefix(model, hash)) == null) {
				break;
			}
			tokens += FakeTokens.BLOCK_TOKENS;
		}
		return tokens;
	}

	/**
	 * Stores all prefixes of a text that consist of whole blocks, and evicts the least
	 * recently used blocks beyond the cache size.
	 * @param model the model, not null
	 * @param text the prompt, not null
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void store(ModelId model, String text, long nowNanos) {
		int tokens = 0;
		for (long hash : FakeTokens.prefixHashes(text)) {
			tokens += FakeTokens.BLOCK_TOKENS;
			Prefix prefix = new Prefix(model, hash);
			if (this.prefixes.put(prefix, tokens) == null) {
				addEvent(prefix, tokens, true, nowNanos);
			}
		}
		evict(nowNanos);
	}

	private void evict(long nowNanos) {
		Iterator<Map.Entry<Prefix, Integer>> oldest = this.prefixes.entrySet().iterator();
		while (tokens() > this.settings.cacheTokens() && oldest.hasNext()) {
			Map.Entry<Prefix, Integer> entry = oldest.next();
			oldest.remove();
			addEvent(entry.getKey(), entry.getValue(), false, nowNanos);
		}
	}

	/**
	 * Returns the size of all cached blocks.
	 * @return the size in tokens
	 */
	long tokens() {
		return (long) this.prefixes.size() * FakeTokens.BLOCK_TOKENS;
	}

	/** Drops all blocks and events without new events, as a restart of an engine does. */
	void clear() {
		this.prefixes.clear();
		this.events.clear();
	}

	/**
	 * Returns the events whose delay has passed.
	 * @param afterSequence the last sequence number that the reader has seen
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the events in order, never null
	 */
	List<CacheEvent> readVisibleEvents(long afterSequence, long nowNanos) {
		List<CacheEvent> visible = new ArrayList<>();
		for (DelayedEvent late : this.events) {
			if (late.visibleNanos - nowNanos <= 0 && late.event.sequence() > afterSequence) {
				visible.add(late.event);
			}
		}
		return visible;
	}

	private void addEvent(Prefix prefix, int tokens, boolean isStored, long nowNanos) {
		this.sequence++;
		if (this.random.nextDouble() < this.settings.cacheEventLossProbability()) {
			return;
		}
		CacheEvent event = new CacheEvent(this.sequence, prefix.model(), prefix.hash(), tokens, isStored);
		this.events.add(new DelayedEvent(event, nowNanos + this.settings.reportLag().toNanos()));
		if (this.events.size() > MAX_EVENTS) {
			this.events.remove();
		}
	}

	/** Key of a cached prefix: its model and the hash of its text. */
	private record Prefix(ModelId model, long hash) {

	}

	/** Event with the time at which it becomes visible, in monotonic nanoseconds. */
	private record DelayedEvent(CacheEvent event, long visibleNanos) {

	}

}
