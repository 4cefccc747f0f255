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
 * What admission and routing need to know of a request. Immutable and thread-safe.
 *
 * @param id the request, not null
 * @param organisation the organisation, not null
 * @param service the service, not null
 * @param model the model or adapter, empty for a plain call, not null
 * @param priority the priority class, not null
 * @param promptTokens the estimated tokens of the prompt, the delivered part of the
 * answer included
 * @param maxTokens the most tokens still to be generated
 * @param prefixHashes the hashes of the prompt's prefixes in whole blocks of
 * {@link #BLOCK_TOKENS} tokens, shortest first, not null
 * @param isIdempotent whether the request may be sent a second time
 * @param arrivedNanos when the request arrived, monotonic nanoseconds
 */
public record TrafficRequest(RequestId id, OrganisationId organisation, ServiceId service, Optional<ModelId> model,
		PriorityClass priority, int promptTokens, int maxTokens, List<Long> prefixHashes, boolean isIdempotent,
		long arrivedNanos) {

	/** Tokens in one block of the prompt prefix cache. */
	public static final int BLOCK_TOKENS = 16;

	/** Creates a request and copies the hashes. */
	public TrafficRequest {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(organisation, "organisation");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(model, "model");
		Objects.requireNonNull(priority, "priority");
		prefixHashes = List.copyOf(prefixHashes);
	}

}
