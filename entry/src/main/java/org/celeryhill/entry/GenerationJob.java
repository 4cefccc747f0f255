package org.celeryhill.entry;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.celeryhill.base.ModelId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.RequestId;
import org.celeryhill.base.ServiceId;
import org.celeryhill.state.ServingSystem;
import org.celeryhill.traffic.TrafficRequest;

/**
 * A request for generated text after authentication and checks. Immutable and
 * thread-safe.
 *
 * @param id the request under which admission and routing know the job, not null
 * @param answerId the request that the answer is named after; a resumed stream keeps the
 * first one, not null
 * @param organisation the organisation, not null
 * @param service the service that serves the model, not null
 * @param model the model, not null
 * @param priority the priority class, not null
 * @param shape the form of the answer, not null
 * @param prompt the prompt, empty if only a running stream can be resumed, not null
 * @param prefixHashes the hashes of the prompt's prefixes, not null
 * @param maxTokens the most tokens of the answer
 * @param seed the sampling seed
 * @param isStream whether the answer is streamed
 * @param system the system that serves the request, not null
 * @param createdSeconds when the answer was created, in seconds since the epoch
 * @param digest the digest of the request, not null; not copied
 * @param arrivedNanos when the request arrived, monotonic nanoseconds
 */
record GenerationJob(RequestId id, RequestId answerId, OrganisationId organisation, ServiceId service, ModelId model,
		PriorityClass priority, ApiShape shape, Optional<String> prompt, List<Long> prefixHashes, int maxTokens,
		long seed, boolean isStream, ServingSystem system, long createdSeconds, byte[] digest, long arrivedNanos) {

	/** Characters that one token of a prompt is estimated to have. */
	static final int CHARACTERS_PER_TOKEN = 4;

	GenerationJob {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(answerId, "answerId");
		Objects.requireNonNull(organisation, "organisation");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(model, "model");
		Objects.requireNonNull(priority, "priority");
		Objects.requireNonNull(shape, "shape");
		Objects.requireNonNull(prompt, "prompt");
		Objects.requireNonNull(system, "system");
		Objects.requireNonNull(digest, "digest");
		prefixHashes = List.copyOf(prefixHashes);
	}

	/**
	 * Returns the estimated tokens of the prompt.
	 * @return the tokens, at least 1
	 */
	int promptTokens() {
		return 1 + this.prompt.map(String::length).orElse(0) / CHARACTERS_PER_TOKEN;
	}

	/**
	 * Returns what admission needs to know.
	 * @param delivered the tokens of the answer that have been delivered
	 * @return the request, never null
	 */
	TrafficRequest toTraffic(int delivered) {
		return new TrafficRequest(this.id, this.organisation, this.service, Optional.of(this.model), this.priority,
				promptTokens() + delivered, Math.max(1, this.maxTokens - delivered), this.prefixHashes, true,
				this.arrivedNanos);
	}

	/**
	 * Returns a copy that continues the answer of a stream that was started elsewhere.
	 * @param origin the position to continue from, not null
	 * @return the copy, never null
	 */
	GenerationJob resuming(EventId origin) {
		return new GenerationJob(this.id, origin.request(), this.organisation, this.service, this.model, this.priority,
				this.shape, this.prompt, this.prefixHashes, this.maxTokens, origin.seed(), this.isStream,
				origin.system(), origin.createdSeconds(), this.digest, this.arrivedNanos);
	}

}
