package org.celeryhill.forward;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.celeryhill.access.PresentedKeys;
import org.celeryhill.base.ModelId;

/**
 * Values decoded from the headers of a caller's request. Immutable and thread-safe.
 *
 * @param id the id of the caller's attempt, not null; empty if the caller sent none
 * @param deadline the time that the caller waits for the response, not null; empty if it
 * sent none
 * @param model the requested model or adapter, not null; empty if the request needs none
 * @param promptTokens the number of tokens of the prompt
 * @param maxTokens the limit on the tokens of the response
 * @param prompt the parts of the prompt in order, not null
 * @param resumeAfter the id of the last event that the caller received, not null; empty
 * for a new stream
 * @param keys the API keys of the caller, not null
 * @param statedTokens the tokens that the request counts for a quota: those of the prompt
 * and the limit on those of the response; not null, empty if the caller states none that
 * can be relied upon
 */
public record RequestMetadata(Optional<String> id, Optional<Duration> deadline, Optional<ModelName> model,
		int promptTokens, int maxTokens, List<PromptPart> prompt, Optional<String> resumeAfter, PresentedKeys keys,
		OptionalLong statedTokens) {

	/**
	 * Creates a request with a copy of the prompt parts.
	 */
	public RequestMetadata {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(deadline, "deadline");
		Objects.requireNonNull(model, "model");
		Objects.requireNonNull(resumeAfter, "resumeAfter");
		Objects.requireNonNull(keys, "keys");
		Objects.requireNonNull(statedTokens, "statedTokens");
		prompt = List.copyOf(prompt);
	}

	/**
	 * Returns the hashes of the prompt parts that other requests may contain too. The
	 * last part of a prompt is specific to the request or its session.
	 * @return the hashes in the order of the prompt, never null
	 */
	public List<Long> sharedPromptParts() {
		List<PromptPart> shared = this.prompt.subList(0, Math.max(0, this.prompt.size() - 1));
		return shared.stream().map(PromptPart::hash).toList();
	}

	/**
	 * A model and optionally one of its adapters.
	 *
	 * @param model the model, not null
	 * @param adapter the name of the adapter within the model, not null; empty for the
	 * model itself
	 */
	public record ModelName(ModelId model, Optional<String> adapter) {

		/**
		 * Creates a model name.
		 */
		public ModelName {
			Objects.requireNonNull(model, "model");
			Objects.requireNonNull(adapter, "adapter");
		}

		/**
		 * Returns the id of the adapter if there is one, else that of the model.
		 * @return the id, never null
		 */
		public ModelId toId() {
			return this.adapter.map((name) -> adapterId(this.model, name)).orElse(this.model);
		}

		/**
		 * Returns the id that identifies an adapter across all models.
		 * @param model the model, not null
		 * @param adapter the name of the adapter, not null
		 * @return the id, never null
		 */
		public static ModelId adapterId(ModelId model, String adapter) {
			return ModelId.of(model.value() + "/" + adapter);
		}

	}

	/**
	 * A part of a prompt. Different requests may contain the same part.
	 *
	 * @param hash the hash of the text of the part
	 * @param tokens the number of tokens of the part
	 */
	public record PromptPart(long hash, int tokens) {
	}

}
