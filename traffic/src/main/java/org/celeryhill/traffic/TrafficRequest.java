package org.celeryhill.traffic;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.celeryhill.base.ModelId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.RequestId;
import org.celeryhill.base.ServiceId;

/**
 * Properties of a request that admission and routing use. Immutable and thread-safe.
 *
 * @param id the request, not null
 * @param organisation the organisation that is charged for the request, not null
 * @param service the service that the request is for, not null
 * @param model the model or adapter, empty for a call of a plain service, not null
 * @param priority the priority class, not null
 * @param promptTokens the estimated tokens of the prompt, including the part of the
 * output that was already delivered
 * @param maxTokens the largest number of output tokens still to be generated
 * @param prefixHashes the hashes of the prompt's prefixes in whole blocks of
 * {@link #BLOCK_TOKENS} tokens, shortest first, not null
 * @param isIdempotent whether the request may be sent more than once
 * @param arrivedNanos when the request arrived, in monotonic nanoseconds
 * @param bounds the bounds of the request itself, empty if those of its class apply, not
 * null
 */
public record TrafficRequest(RequestId id, OrganisationId organisation, ServiceId service, Optional<ModelId> model,
		PriorityClass priority, int promptTokens, int maxTokens, List<Long> prefixHashes, boolean isIdempotent,
		long arrivedNanos, Optional<RequestBounds> bounds) {

	/** Number of tokens in one block of the prompt prefix cache. */
	public static final int BLOCK_TOKENS = 16;

	/** Creates a request with a copy of the hashes. */
	public TrafficRequest {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(organisation, "organisation");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(model, "model");
		Objects.requireNonNull(priority, "priority");
		Objects.requireNonNull(bounds, "bounds");
		prefixHashes = List.copyOf(prefixHashes);
	}

	/**
	 * Creates a request to which the bounds of its class apply.
	 * @param id the request, not null
	 * @param organisation the organisation that is charged for the request, not null
	 * @param service the service that the request is for, not null
	 * @param model the model or adapter, empty for a call of a plain service, not null
	 * @param priority the priority class, not null
	 * @param promptTokens the estimated tokens of the prompt
	 * @param maxTokens the largest number of output tokens still to be generated
	 * @param prefixHashes the hashes of the prompt's prefixes, shortest first, not null
	 * @param isIdempotent whether the request may be sent more than once
	 * @param arrivedNanos when the request arrived, in monotonic nanoseconds
	 */
	public TrafficRequest(RequestId id, OrganisationId organisation, ServiceId service, Optional<ModelId> model,
			PriorityClass priority, int promptTokens, int maxTokens, List<Long> prefixHashes, boolean isIdempotent,
			long arrivedNanos) {
		this(id, organisation, service, model, priority, promptTokens, maxTokens, prefixHashes, isIdempotent,
				arrivedNanos, Optional.empty());
	}

	/**
	 * Returns a copy with bounds of its own.
	 * @param own the bounds, not null
	 * @return the copy, never null
	 */
	public TrafficRequest withBounds(RequestBounds own) {
		return new TrafficRequest(this.id, this.organisation, this.service, this.model, this.priority,
				this.promptTokens, this.maxTokens, this.prefixHashes, this.isIdempotent, this.arrivedNanos,
				Optional.of(own));
	}

}
