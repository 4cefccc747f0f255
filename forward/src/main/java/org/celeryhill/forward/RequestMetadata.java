package org.celeryhill.forward;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.celeryhill.base.ModelId;

/**
 * What the headers of a caller's request say to this system. Immutable and thread-safe.
 *
 * @param id the id of the caller's attempt; empty if the caller sent none
 * @param deadline the time that the caller waits; empty if it did not say
 * @param model the model or adapter that is asked for
 * @param promptTokens the tokens of the prompt
 * @param maxTokens the most tokens of the answer
 * @param prompt the parts of the prompt in order
 * @param resumeAfter the id of the last event that the caller has; empty for a new stream
 */
public record RequestMetadata(Optional<String> id, Optional<Duration> deadline, Optional<ModelName> model,
		int promptTokens, int maxTokens, List<PromptPart> prompt, Optional<String> resumeAfter) {

	/**
	 * Checks the arguments.
	 */
	public RequestMetadata {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(deadline, "deadline");
		Objects.requireNonNull(model, "model");
		Objects.requireNonNull(resumeAfter, "resumeAfter");
		prompt = List.copyOf(prompt);
	}

	/**
	 * A model with an optional adapter.
	 *
	 * @param model the model, not null
	 * @param adapter the name of the adapter within the model
	 */
	public record ModelName(ModelId model, Optional<String> adapter) {

		/**
		 * Checks the arguments.
		 */
		public ModelName {
			Objects.requireNonNull(model, "model");
			Objects.requireNonNull(adapter, "adapter");
		}

		/**
		 * Returns the id under which routing knows the model or the adapter.
		 * @return the id, never null
		 */
		public ModelId toId() {
			return this.adapter.map((name) -> adapterId(this.model, name)).orElse(this.model);
		}

		/**
		 * Returns the id of an adapter.
		 * @param model the model, not null
		 * @param adapter the name of the adapter, not null
		 * @return the id, never null
		 */
		public static ModelId adapterId(ModelId model, String adapter) {
			return ModelId.of(model.value() + "/" + adapter);
		}

	}

	/**
	 * One part of a prompt; requests share parts.
	 *
	 * @param hash identifies the part
	 * @param tokens the length of the part
	 */
	public record PromptPart(long hash, int tokens) {
	}

}
