package org.celeryhill.config;

import java.util.Objects;
import java.util.Optional;

import org.celeryhill.base.ModelId;

/**
 * A model or adapter of an organisation. Immutable and thread-safe.
 *
 * @param id the model with its version, not null
 * @param bytes the accelerator memory for its weights, in bytes, positive
 * @param base the base model of an adapter, empty for a model, not null
 * @param minReplicas the ready replicas that are always kept, at least 1; adapters have
 * none of their own and are loaded on demand next to their base
 * @param maxReplicas the most replicas, at least {@code minReplicas}
 */
public record ModelSpec(ModelId id, long bytes, Optional<ModelId> base, int minReplicas, int maxReplicas) {

	/**
	 * Creates a model.
	 * @throws IllegalArgumentException if a figure is out of its range
	 */
	public ModelSpec {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(base, "base");
		if (bytes <= 0 || minReplicas < 1 || maxReplicas < minReplicas) {
			throw new IllegalArgumentException("bytes must be positive and 1 <= minReplicas <= maxReplicas for " + id);
		}
	}

	/**
	 * Returns whether this is an adapter.
	 * @return true if it needs a base model
	 */
	public boolean isAdapter() {
		return this.base.isPresent();
	}

}
