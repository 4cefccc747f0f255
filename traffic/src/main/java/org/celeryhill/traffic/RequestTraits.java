package org.celeryhill.traffic;

import java.util.ArrayList;
import java.util.List;

/**
 * What identifies the content of a request, so that requests that end their backend
 * servers are recognised when they come again. Hosts compute the same traits for the same
 * content. Immutable and thread-safe.
 *
 * @param shared the hashes of the prompt parts that other requests may contain too, in
 * the order of the prompt, not null
 * @param specific the hashes of what is specific to the request: the last part of its
 * prompt, which may belong to a session, then the whole request, not null
 */
public record RequestTraits(List<Long> shared, List<Long> specific) {

	/**
	 * Creates traits with copies of the lists.
	 */
	public RequestTraits {
		shared = List.copyOf(shared);
		specific = List.copyOf(specific);
	}

	/**
	 * Returns all traits, those of most requests first.
	 * @return the hashes, never null
	 */
	public List<Long> all() {
		List<Long> all = new ArrayList<>(this.shared);
		all.addAll(this.specific);
		return all;
	}

}
