package org.celeryhill.config;

import java.util.Objects;
import java.util.Optional;

import org.celeryhill.base.ModelId;

/**
 * Model or adapter of an organisation. Immutable and thread-safe.
 *
 * @param id the model id with its version, not null
 * @param bytes the accelerator memory that its weights occupy, in bytes, positive
 * @param base the base model of an adapter, empty for a model, not null
 * @param minReplicas the minimum number of ready replicas, at least 1; not used for
 * adapters, which are loaded on demand on an engine that has their base model
 * @param maxReplicas the maximum number of replicas, at least {@code minReplicas}
 */
public record ModelSpec(ModelId id, long bytes, Optional<ModelId> base, int minReplicas, int maxReplicas) {

	/**
	 * Creates a model.
	 * @throws IllegalArgumentException if a value is out of its range
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
	 * @return true if it has a base model
	 */
	public boolean isAdapter() {
		return this.base.isPresent();
	}

}
