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
 * A generation request after authentication and validation. Immutable and thread-safe.
 *
 * @param id the request id used by admission and routing, not null
 * @param responseId the request id that the id of the response is derived from; a resumed
 * stream keeps the id of its first request, not null
 * @param organisation the organisation of the caller, not null
 * @param service the service that serves the model, not null
 * @param model the requested model, not null
 * @param priority the priority class, not null
 * @param shape the API format of the response, not null
 * @param prompt the prompt, empty for a resumption without the original request, which
 * can only read the stream of its engine, not null
 * @param prefixHashes the hashes of the prompt's prefixes, shortest first, not null
 * @param maxTokens the maximum number of tokens of the response
 * @param seed the sampling seed
 * @param isStream whether the response is streamed
 * @param system the serving system for the request, not null
 * @param createdSeconds the creation time of the response, in seconds since the epoch
 * @param digest the digest of the request, not null; not copied
 * @param arrivalNanos the arrival time of the request, in monotonic nanoseconds
 */
record GenerationJob(RequestId id, RequestId responseId, OrganisationId organisation, ServiceId service, ModelId model,
		PriorityClass priority, ApiShape shape, Optional<String> prompt, List<Long> prefixHashes, int maxTokens,
		long seed, boolean isStream, ServingSystem system, long createdSeconds, byte[] digest, long arrivalNanos) {

	/** Estimated number of characters of one prompt token. */
	static final int CHARACTERS_PER_TOKEN = 4;

	GenerationJob {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(responseId, "responseId");
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
	 * Returns the estimated number of prompt tokens.
	 * @return the number of tokens, at least 1
	 */
	int estimatedPromptTokens() {
		return 1 + this.prompt.map(String::length).orElse(0) / CHARACTERS_PER_TOKEN;
	}

	/**
	 * Returns the request for admission and routing.
	 * @param deliveredTokens the number of tokens that were delivered to the caller
	 * @return the request, never null
	 */
	TrafficRequest toTrafficRequest(int deliveredTokens) {
		return new TrafficRequest(this.id, this.organisation, this.service, Optional.of(this.model), this.priority,
				estimatedPromptTokens() + deliveredTokens, Math.max(1, this.maxTokens - deliveredTokens),
				this.prefixHashes, true, this.arrivalNanos);
	}

	/**
	 * Returns a copy that continues a stream started by an earlier request.
	 * @param origin the position to continue from, not null
	 * @return the copy, never null
	 */
	GenerationJob resumedFrom(EventId origin) {
		return new GenerationJob(this.id, origin.request(), this.organisation, this.service, this.model, this.priority,
				this.shape, this.prompt, this.prefixHashes, this.maxTokens, origin.seed(), this.isStream,
				origin.system(), origin.createdSeconds(), this.digest, this.arrivalNanos);
	}

}
