package org.celeryhill.port;

import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.FencingToken;
import org.celeryhill.base.ModelId;

/**
 * Status report of a model engine. It lags behind the actual state of the engine.
 * Immutable and thread-safe.
 *
 * @param engine the engine, not null
 * @param incarnation identifier that changes each time the engine starts; nothing that an
 * earlier incarnation loaded is resident, not null
 * @param sequence number that grows with each report of one incarnation
 * @param memoryBytes the accelerator memory for weights, in bytes
 * @param legacyBytes the part of it that the legacy serving system holds, in bytes
 * @param residents the models and adapters in memory, also those being loaded, not null
 * @param settled the ids of the latest commands that this incarnation has finished or
 * refused and will never run again, newest last, not null
 * @param highestToken the highest fencing token that the engine has seen, not null
 * @param isTokenChecked whether the engine refuses commands with a lower fencing token
 * @param role the current role, not null
 * @param running the number of requests that are being decoded
 * @param queued the number of requests that wait in the engine
 * @param kvTokensUsed the KV cache in use, in tokens
 * @param kvTokensCapacity the size of the KV cache, in tokens
 * @param prefillTokensPerSecond the recent prefill rate, in tokens a second
 * @param decodeTokensPerSecond the recent total decode rate, in tokens a second
 * @param isLeaving whether the engine is leaving and must not get new work
 */
public record EngineReport(BackendServerId engine, String incarnation, long sequence, long memoryBytes,
		long legacyBytes, List<Resident> residents, List<AttemptId> settled, FencingToken highestToken,
		boolean isTokenChecked, Role role, int running, int queued, long kvTokensUsed, long kvTokensCapacity,
		double prefillTokensPerSecond, double decodeTokensPerSecond, boolean isLeaving) {

	/** Creates a report and copies the lists. */
	public EngineReport {
		Objects.requireNonNull(engine, "engine");
		Objects.requireNonNull(incarnation, "incarnation");
		Objects.requireNonNull(highestToken, "highestToken");
		Objects.requireNonNull(role, "role");
		residents = List.copyOf(residents);
		settled = List.copyOf(settled);
	}

	/**
	 * Returns whether a model is loaded and can serve requests.
	 * @param model the model, not null
	 * @return true if it is ready
	 */
	public boolean isReady(ModelId model) {
		for (Resident resident : this.residents) {
			if (resident.model().equals(model)) {
				return resident.state() == ResidentState.READY;
			}
		}
		return false;
	}

	/**
	 * Returns the memory that the residents occupy, without the part that the legacy
	 * serving system holds.
	 * @return the sum of the residents' sizes in bytes
	 */
	public long residentBytes() {
		return this.residents.stream().mapToLong(Resident::bytes).sum();
	}

	/**
	 * A model or adapter in the accelerator memory of an engine.
	 *
	 * @param model the model, not null
	 * @param bytes the memory that it occupies, in bytes
	 * @param state whether it can serve requests, not null
	 */
	public record Resident(ModelId model, long bytes, ResidentState state) {

		/** Creates a resident. */
		public Resident {
			Objects.requireNonNull(model, "model");
			Objects.requireNonNull(state, "state");
		}

	}

	/** State of a resident. */
	public enum ResidentState {

		/** The memory is allocated, requests cannot be served yet. */
		LOADING,

		/** Requests can be served. */
		READY,

		/** The memory is still allocated, requests can no longer be served. */
		UNLOADING

	}

	/** The phases of a request that an engine runs. */
	public enum Role {

		/** Prompts (prefill) and the generation of tokens (decode). */
		MIXED,

		/** Only prompts (prefill). */
		PREFILL,

		/** Only the generation of tokens (decode). */
		DECODE;

		/** Roles that include prefill, so that a request can start on the engine. */
		public static final Set<Role> STARTING = Set.of(MIXED, PREFILL);

	}

}
