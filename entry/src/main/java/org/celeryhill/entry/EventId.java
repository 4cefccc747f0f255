package org.celeryhill.entry;

import java.util.Arrays;
import java.util.Objects;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.RequestId;
import org.celeryhill.state.ServingSystem;

/**
 * Position in a stream, with all data that any entry daemon needs to resume it. Immutable
 * and thread-safe.
 *
 * @param request the request that started the stream, not null
 * @param organisation the organisation that may resume it, not null
 * @param model the model that generates the text, not null
 * @param shape the API format of the response, not null
 * @param system the serving system that runs the stream, not null
 * @param engine the engine that runs the stream, not null
 * @param attempt the attempt that identifies the stream on the engine, not null
 * @param firstOffset the offset of the first token that the attempt generates
 * @param offset the number of tokens delivered, which is the offset of the next one
 * @param seed the sampling seed
 * @param textHash the {@link TextHash} of the delivered text
 * @param createdSeconds the creation time of the response, in seconds since the epoch
 * @param digest the digest of the request, {@link #DIGEST_BYTES} long, not null; not
 * copied
 */
record EventId(RequestId request, OrganisationId organisation, ModelId model, ApiShape shape, ServingSystem system,
		BackendServerId engine, AttemptId attempt, int firstOffset, int offset, long seed, long textHash,
		long createdSeconds, byte[] digest) {

	/** Length of a request digest in bytes. */
	static final int DIGEST_BYTES = 16;

	EventId {
		Objects.requireNonNull(request, "request");
		Objects.requireNonNull(organisation, "organisation");
		Objects.requireNonNull(model, "model");
		Objects.requireNonNull(shape, "shape");
		Objects.requireNonNull(system, "system");
		Objects.requireNonNull(engine, "engine");
		Objects.requireNonNull(attempt, "attempt");
		if (digest.length != DIGEST_BYTES || firstOffset < 0 || offset < 0) {
			throw new IllegalArgumentException("event id has a digest of the wrong length or a negative offset");
		}
	}

	boolean isForRequest(byte[] requestDigest) {
		return Arrays.equals(this.digest, requestDigest);
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof EventId that && this.attempt.equals(that.attempt) && this.offset == that.offset
				&& this.engine.equals(that.engine) && this.request.equals(that.request)
				&& this.textHash == that.textHash && Arrays.equals(this.digest, that.digest);
	}

	@Override
	public int hashCode() {
		return Objects.hash(this.attempt, this.offset);
	}

}
