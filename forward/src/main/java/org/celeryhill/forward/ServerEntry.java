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
 * What a backend server says of itself in the host list. Immutable and thread-safe.
 *
 * @param id the backend server, not null
 * @param incarnation the time of its start in milliseconds since the epoch; tells two
 * lives under one id apart
 * @param service its service, not null
 * @param address where it listens, not null
 * @param dataCentre its data centre, not null
 * @param slots the requests that it runs at once
 * @param isDraining whether it takes no new requests
 * @param models the models that it holds
 * @param modelsCachedInMemory the models with a copy in its host memory
 * @param modelsCachedOnDisk the models with a copy on its disk
 * @param heartbeat the number of the heartbeat that this entry comes from, rising within
 * one life
 */
public record ServerEntry(BackendServerId id, long incarnation, ServiceId service, InetSocketAddress address,
		DataCentre dataCentre, int slots, boolean isDraining, List<ResidentModel> models, Set<ModelId> modelsCachedInMemory,
		Set<ModelId> modelsCachedOnDisk, long heartbeat) {

	/**
	 * Checks the arguments.
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
	 * Returns what tells this life of the backend server from other owners of its
	 * address.
	 * @return id and incarnation as one text, never null
	 */
	public String incarnationId() {
		return this.id.value() + "@" + this.incarnation;
	}

	/**
	 * Returns whether this is another life of a backend server than the other entry.
	 * @param other the other entry, not null
	 * @return whether id or incarnation differ
	 */
	public boolean isDifferentIncarnation(ServerEntry other) {
		return !this.id.equals(other.id) || this.incarnation != other.incarnation;
	}

	/**
	 * One model that an engine holds.
	 *
	 * @param model the model, not null
	 * @param version the version of its weights
	 * @param adapters the names of its adapters on the engine
	 */
	public record ResidentModel(ModelId model, long version, Set<String> adapters) {

		/**
		 * Checks the arguments.
		 */
		public ResidentModel {
			Objects.requireNonNull(model, "model");
			adapters = Set.copyOf(adapters);
		}

	}

}
