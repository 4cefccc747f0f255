package org.celeryhill.traffic;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.celeryhill.base.ModelId;
import org.celeryhill.port.Engine;

/**
 * Index of the engines that probably have a prompt prefix cached, built from events that
 * arrive late and with gaps. When the index is full, the least recently used prefix is
 * removed. Not thread-safe.
 */
final class PrefixIndex {

	/** Largest number of prefixes in the index. */
	private static final int MAX_PREFIXES = 60_000;

	/** Largest number of engines kept for one prefix. */
	private static final int MAX_ENGINES_PER_PREFIX = 4;

	/** Largest number of prefixes looked up for one request. */
	private static final int MAX_LOOKUPS = 64;

	/**
	 * Entries of the engines that have a prefix cached, by hash of model and prefix; -1
	 * marks a removed entry.
	 */
	private final Map<Long, long[]> engines = new LinkedHashMap<>(1024, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, long[]> eldest) {
			return size() > MAX_PREFIXES;
		}

	};

	/** Entries of the engines found by the last lookup. */
	private final long[] matchedEntries = new long[2 * MAX_ENGINES_PER_PREFIX];

	/** Cached prompt tokens of the engines found by the last lookup. */
	private final int[] tokens = new int[2 * MAX_ENGINES_PER_PREFIX];

	/** Number of engines found by the last lookup. */
	private int matchCount;

	/**
	 * Applies a cache event of an engine.
	 * @param backend the engine
	 * @param event the event
	 */
	void applyEvent(BackendState backend, Engine.CacheEvent event) {
		Long key = key(event.model(), event.prefixHash());
		long entry = toEntry(backend);
		long[] entries = this.engines.get(key);
		if (event.isStored()) {
			this.engines.put(key, withEntry(entries, entry));
		}
		else if (entries != null) {
			for (int i = 0; i < entries.length; i++) {
				entries[i] = (entries[i] == entry) ? -1 : entries[i];
			}
		}
	}

	private static long[] withEntry(long[] entries, long entry) {
		if (entries == null) {
			return new long[] { entry };
		}
		for (long existing : entries) {
			if (existing == entry) {
				return entries;
			}
		}
		long[] extended = new long[Math.min(MAX_ENGINES_PER_PREFIX, entries.length + 1)];
		extended[0] = entry;
		System.arraycopy(entries, 0, extended, 1, extended.length - 1);
		return extended;
	}

	/**
	 * Finds the engines that have the longest prefixes of a request cached. The result
	 * replaces that of the previous lookup.
	 * @param model the model, null for a call of a plain service
	 * @param hashes the hashes of the prompt's prefixes, shortest first
	 */
	void findMatches(ModelId model, List<Long> hashes) {
		this.matchCount = 0;
		if (model == null) {
			return;
		}
		int lowest = Math.max(0, hashes.size() - MAX_LOOKUPS);
		for (int i = hashes.size() - 1; i >= lowest && this.matchCount < MAX_ENGINES_PER_PREFIX; i--) {
			long[] entries = this.engines.get(key(model, hashes.get(i)));
			if (entries != null) {
				addMatches(entries, (i + 1) * TrafficRequest.BLOCK_TOKENS);
			}
		}
	}

	private void addMatches(long[] entries, int prefixTokens) {
		for (long entry : entries) {
			if (entry >= 0 && this.matchCount < this.matchedEntries.length && indexOfMatch(entry) < 0) {
				this.matchedEntries[this.matchCount] = entry;
				this.tokens[this.matchCount] = prefixTokens;
				this.matchCount++;
			}
		}
	}

	private int indexOfMatch(long entry) {
		for (int i = 0; i < this.matchCount; i++) {
			if (this.matchedEntries[i] == entry) {
				return i;
			}
		}
		return -1;
	}

	/**
	 * Returns how many prompt tokens of the last lookup an engine has cached.
	 * @param backend the engine
	 * @return the tokens, 0 if none
	 */
	int cachedTokens(BackendState backend) {
		int index = indexOfMatch(toEntry(backend));
		return (index >= 0) ? this.tokens[index] : 0;
	}

	/**
	 * Returns whether the last lookup found any engine.
	 * @return true if at least one engine has a prefix cached
	 */
	boolean hasMatch() {
		return this.matchCount > 0;
	}

	private static long toEntry(BackendState backend) {
		return ((long) backend.cacheEpoch << 32) | backend.index;
	}

	private static long key(ModelId model, long hash) {
		return ServicePool.mixBits(hash ^ model.hashCode() * 0x9E3779B97F4A7C15L);
	}

}
