package org.celeryhill.port;

import java.util.Objects;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.PriorityClass;

/**
 * A request for generated text to a model engine. Immutable and thread-safe.
 *
 * @param attempt the unique id of this attempt, which identifies the stream for
 * resumption and cancellation, not null
 * @param model the model or adapter, not null
 * @param prompt the prompt, not null
 * @param continuation text that was already delivered and that the response continues,
 * not null, empty for a new response
 * @param continuationTokens the number of tokens in the continuation; the first token of
 * the response has this offset
 * @param maxTokens the maximum number of tokens of the complete response, including the
 * continuation
 * @param seed the sampling seed, the same for all attempts of one request
 * @param priority the priority class that the engine applies, not null
 */
public record GenerateRequest(AttemptId attempt, ModelId model, String prompt, String continuation,
		int continuationTokens, int maxTokens, long seed, PriorityClass priority) {

	/** Creates a request. */
	public GenerateRequest {
		Objects.requireNonNull(attempt, "attempt");
		Objects.requireNonNull(model, "model");
		Objects.requireNonNull(prompt, "prompt");
		Objects.requireNonNull(continuation, "continuation");
		Objects.requireNonNull(priority, "priority");
	}

}
