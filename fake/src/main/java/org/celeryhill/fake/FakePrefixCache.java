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
 * Prompt prefix cache of one engine with least-recently-used eviction by block. Its
 * events are seen late and with gaps. Not thread-safe.
 */
final class FakePrefixCache {

	/** Events that are kept for readers. */
	private static final int MAX_EVENTS = 4096;

	/** Limits. */
	private final FakeEngineSettings settings;

	/** Generator of gaps. */
	private final Random random;

	/** Tokens of the prefix by model and prefix hash, least recently used first. */
	private final LinkedHashMap<Prefix, Integer> prefixes = new LinkedHashMap<>(16, 0.75f, true);

	/** Events with the time at which they can be seen, oldest first. */
	private final Deque<LateEvent> events = new ArrayDeque<>();

	/** Sequence of the last event. */
	private long sequence;

	FakePrefixCache(FakeEngineSettings settings, long seed) {
		this.settings = settings;
		this.random = new Random(seed);
	}

	/**
	 * Returns how much of a text is cached.
	 * @param model the model, not null
	 * @param text the prompt, not null
	 * @return the length of the longest cached prefix in tokens
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
	 * Stores all prefixes of a text in whole blocks and evicts the least recently used.
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
	 * Returns the size of the cache.
	 * @return the cached blocks in tokens
	 */
	long tokens() {
		return (long) this.prefixes.size() * FakeTokens.BLOCK_TOKENS;
	}

	/** Drops everything without events, as a restart does. */
	void clear() {
		this.prefixes.clear();
		this.events.clear();
	}

	/**
	 * Returns the events that can be seen.
	 * @param afterSequence the last sequence number that the reader has seen
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the events in order, never null
	 */
	List<CacheEvent> events(long afterSequence, long nowNanos) {
		List<CacheEvent> visible = new ArrayList<>();
		for (LateEvent late : this.events) {
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
		this.events.add(new LateEvent(event, nowNanos + this.settings.reportLag().toNanos()));
		if (this.events.size() > MAX_EVENTS) {
			this.events.remove();
		}
	}

	/** Key of a cached prefix. */
	private record Prefix(ModelId model, long hash) {

	}

	/** Event with the monotonic time at which it can be seen. */
	private record LateEvent(CacheEvent event, long visibleNanos) {

	}

}
