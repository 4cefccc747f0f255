package org.celeryhill.traffic;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.celeryhill.base.ModelId;
import org.celeryhill.port.Engine;

/**
 * Engines that probably have a prompt prefix cached, learned from late and incomplete
 * events. The least recently used prefixes are dropped. Not thread-safe.
 */
final class PrefixIndex {

	/** Largest number of prefixes kept. */
	private static final int CAPACITY = 60_000;

	/** Engines kept for one prefix. */
	private static final int WIDTH = 4;

	/** Largest number of blocks looked up for one request. */
	private static final int LOOKUPS = 64;

	/** Engines and their cache epochs by model and prefix. */
	private final Map<Long, long[]> engines = new LinkedHashMap<>(1024, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, long[]> eldest) {
			return size() > CAPACITY;
		}

	};

	/** Positions of the engines of the last match. */
	private final long[] matched = new long[2 * WIDTH];

	/** Cached tokens of the engines of the last match. */
	private final int[] tokens = new int[2 * WIDTH];

	/** Number of engines in the last match. */
	private int matches;

	/**
	 * Takes note of an event.
	 * @param backend the engine
	 * @param event the event
	 */
	void observe(BackendState backend, Engine.CacheEvent event) {
		Long key = key(event.model(), event.prefixHash());
		long entry = entry(backend);
		long[] list = this.engines.get(key);
		if (event.isStored()) {
			this.engines.put(key, with(list, entry));
		}
		else if (list != null) {
			for (int i = 0; i < list.length; i++) {
				list[i] = (list[i] == entry) ? -1 : list[i];
			}
		}
	}

	private static long[] with(long[] list, long entry) {
		if (list == null) {
			return new long[] { entry };
		}
		for (long one : list) {
			if (one == entry) {
				return list;
			}
		}
		long[] longer = new long[Math.min(WIDTH, list.length + 1)];
		longer[0] = entry;
		System.arraycopy(list, 0, longer, 1, longer.length - 1);
		return longer;
	}

	/**
	 * Looks up the engines with the longest cached prefixes of a request.
	 * @param model the model, null for none
	 * @param hashes the hashes of the prefixes, shortest first
	 */
	void match(ModelId model, List<Long> hashes) {
		this.matches = 0;
		if (model == null) {
			return;
		}
		int last = Math.max(0, hashes.size() - LOOKUPS);
		for (int i = hashes.size() - 1; i >= last && this.matches < WIDTH; i--) {
			long[] list = this.engines.get(key(model, hashes.get(i)));
			if (list != null) {
				addMatches(list, (i + 1) * TrafficRequest.BLOCK_TOKENS);
			}
		}
	}

	private void addMatches(long[] list, int length) {
		for (long entry : list) {
			if (entry >= 0 && this.matches < this.matched.length && find(entry) < 0) {
				this.matched[this.matches] = entry;
				this.tokens[this.matches] = length;
				this.matches++;
			}
		}
	}

	private int find(long entry) {
		for (int i = 0; i < this.matches; i++) {
			if (this.matched[i] == entry) {
				return i;
			}
		}
		return -1;
	}

	/**
	 * Returns the prompt tokens of the last match that an engine has cached.
	 * @param backend the engine
	 * @return the tokens, 0 if none
	 */
	int cachedTokens(BackendState backend) {
		int at = find(entry(backend));
		return (at >= 0) ? this.tokens[at] : 0;
	}

	/**
	 * Returns whether the last match found any engine.
	 * @return true if at least one engine has a prefix
	 */
	boolean hasMatch() {
		return this.matches > 0;
	}

	private static long entry(BackendState backend) {
		return ((long) backend.cacheEpoch << 32) | backend.index;
	}

	private static long key(ModelId model, long hash) {
		return ServicePool.mix(hash ^ model.hashCode() * 0x9E3779B97F4A7C15L);
	}

}
