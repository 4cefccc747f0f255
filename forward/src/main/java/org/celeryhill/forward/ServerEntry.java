package org.celeryhill.forward;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.ServiceId;

/**
 * One entry of the host list: the state that a backend server publishes about itself.
 * Immutable and thread-safe.
 *
 * @param id the backend server, not null
 * @param incarnation the start time of the process in milliseconds since the epoch;
 * distinguishes a restarted process from the earlier one with the same id
 * @param service the service that it belongs to, not null
 * @param address the address that it listens on, not null
 * @param dataCentre its data centre, not null
 * @param slots the number of requests that it runs concurrently, positive
 * @param isDraining whether it is draining and accepts no new requests
 * @param models the models that are loaded and can serve requests, not null
 * @param modelsCachedInMemory the models whose weights are in its host memory, not null
 * @param modelsCachedOnDisk the models whose weights are on its local disk, not null
 * @param heartbeat the sequence number of the heartbeat that carried this entry;
 * increases within one incarnation
 */
public record ServerEntry(BackendServerId id, long incarnation, ServiceId service, InetSocketAddress address,
		DataCentre dataCentre, int slots, boolean isDraining, List<ResidentModel> models,
		Set<ModelId> modelsCachedInMemory, Set<ModelId> modelsCachedOnDisk, long heartbeat) {

	/**
	 * Creates an entry with copies of the collections.
	 * @throws IllegalArgumentException if the number of slots is not positive
	 */
	public ServerEntry {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(dataCentre, "dataCentre");
		models = List.copyOf(models);
		modelsCachedInMemory = Set.copyOf(modelsCachedInMemory);
		modelsCachedOnDisk = Set.copyOf(modelsCachedOnDisk);
		if (slots < 1) {
			throw new IllegalArgumentException("slots must be positive: " + slots);
		}
	}

	/**
	 * Returns an identifier of this incarnation of the backend server. It differs from
	 * that of any other process that uses the same address before or after.
	 * @return the server id and the incarnation, separated by '@', never null
	 */
	public String incarnationId() {
		return this.id.value() + "@" + this.incarnation;
	}

	/**
	 * Returns whether the other entry describes another process, such as this backend
	 * server before a restart.
	 * @param other the other entry, not null
	 * @return whether id or incarnation differ
	 */
	public boolean isDifferentIncarnation(ServerEntry other) {
		return !this.id.equals(other.id) || this.incarnation != other.incarnation;
	}

	/**
	 * Returns a copy of this entry whose backend server is draining.
	 * @return the entry, never null
	 */
	ServerEntry asDraining() {
		return new ServerEntry(this.id, this.incarnation, this.service, this.address, this.dataCentre, this.slots, true,
				this.models, this.modelsCachedInMemory, this.modelsCachedOnDisk, this.heartbeat);
	}

	/**
	 * A model that is loaded on an engine.
	 *
	 * @param model the model, not null
	 * @param version the version of its weights
	 * @param adapters the names of the adapters of this model that are loaded, not null
	 */
	public record ResidentModel(ModelId model, long version, Set<String> adapters) {

		/**
		 * Creates a model with a copy of the adapter names.
		 */
		public ResidentModel {
			Objects.requireNonNull(model, "model");
			adapters = Set.copyOf(adapters);
		}

	}

}
