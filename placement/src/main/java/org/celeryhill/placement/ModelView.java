package org.celeryhill.placement;

import java.util.ArrayList;
import java.util.List;

import org.celeryhill.base.DataCentre;
import org.celeryhill.base.ModelId;
import org.celeryhill.config.ModelSpec;

/**
 * Mutable view of one model or adapter during a planning round. Not thread-safe.
 */
final class ModelView {

	/** Identifier with version. */
	final ModelId id;

	/** Specification, or null if the revision does not list the model. */
	final ModelSpec spec;

	/** Replicas on all engines, in any state. */
	final List<Replica> replicas = new ArrayList<>();

	/** Ready replicas to keep if memory allows; zero for adapters. */
	int requiredReplicas;

	/** Smoothed demand on which decisions are based. */
	DemandTracker.Estimate demand = DemandTracker.Estimate.NONE;

	/** Number of requests that are queued now. */
	int waiting;

	/** Mean load of the engines that hold the model, relative to the fleet mean. */
	double congestion = 1;

	/** Listed version that replaces this unlisted one, or null. */
	ModelView successor;

	/** Whether no memory was found for a required replica in this round. */
	boolean lacksMemory;

	/** Whether the model has negligible demand and no queued requests. */
	boolean isIdle;

	/** Latest decision of this round in words, for operators. */
	String reason = "";

	/** Number of replicas that are ready on engines that remain in service. */
	private int ready;

	/** Number of replicas that are or will be ready on engines that remain. */
	private int expected;

	ModelView(ModelId id, ModelSpec spec) {
		this.id = id;
		this.spec = spec;
	}

	/**
	 * Returns whether the revision lists the model.
	 * @return true if so
	 */
	boolean isListed() {
		return this.spec != null;
	}

	/**
	 * Returns whether the revision lists this as an adapter.
	 * @return true if so
	 */
	boolean isAdapter() {
		return this.spec != null && this.spec.isAdapter();
	}

	/**
	 * Returns the part of a model identifier that all versions of the model share.
	 * @param id the model identifier, with or without a version
	 * @return the identifier without the version after the last {@code @}
	 */
	static String familyOf(ModelId id) {
		int versionStart = id.value().lastIndexOf('@');
		return (versionStart > 0) ? id.value().substring(0, versionStart) : id.value();
	}

	/**
	 * Adds a replica and counts it.
	 * @param replica the replica of this model
	 */
	void add(Replica replica) {
		this.replicas.add(replica);
		this.ready += replica.countsAsReady() ? 1 : 0;
		this.expected += replica.isExpected() ? 1 : 0;
	}

	/** Updates the counts after the state of a replica has changed. */
	void recount() {
		int readyNow = 0;
		int expectedNow = 0;
		for (Replica replica : this.replicas) {
			readyNow += replica.countsAsReady() ? 1 : 0;
			expectedNow += replica.isExpected() ? 1 : 0;
		}
		this.ready = readyNow;
		this.expected = expectedNow;
	}

	/**
	 * Returns the number of ready replicas on engines that remain in service.
	 * @return the replicas that count as ready
	 */
	int ready() {
		return this.ready;
	}

	/**
	 * Returns the number of replicas that are or will be ready on engines that remain in
	 * service.
	 * @return the expected replicas
	 */
	int expected() {
		return this.expected;
	}

	/**
	 * Returns whether any replica can serve requests now, even on a draining engine.
	 * @return true if so
	 */
	boolean canServeNow() {
		for (Replica replica : this.replicas) {
			if (replica.isServing() && replica.engine.canStartRequests && !replica.engine.state.isSuspect()) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Returns the number of ready replicas other than a given one.
	 * @param excluded the replica that is not counted
	 * @return the other ready replicas
	 */
	int readyWithout(Replica excluded) {
		return this.ready - (excluded.countsAsReady() ? 1 : 0);
	}

	/**
	 * Returns whether a data centre has an expected replica.
	 * @param dataCentre the data centre to search
	 * @return true if so
	 */
	boolean isExpectedIn(DataCentre dataCentre) {
		for (Replica replica : this.replicas) {
			if (replica.isExpected() && replica.engine.state.dataCentre().equals(dataCentre)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Returns whether the expected replicas are in at least two data centres.
	 * @return true if so
	 */
	boolean isSpread() {
		DataCentre first = null;
		for (Replica replica : this.replicas) {
			if (!replica.isExpected()) {
				continue;
			}
			DataCentre current = replica.engine.state.dataCentre();
			if (first != null && !first.equals(current)) {
				return true;
			}
			first = current;
		}
		return false;
	}

	/**
	 * Returns whether the ready replicas other than a given one are in at least two data
	 * centres.
	 * @param excluded the replica that is left out
	 * @return true if so
	 */
	boolean isSpreadWithout(Replica excluded) {
		DataCentre first = null;
		for (Replica replica : this.replicas) {
			if (replica == excluded || !replica.countsAsReady()) {
				continue;
			}
			DataCentre current = replica.engine.state.dataCentre();
			if (first != null && !first.equals(current)) {
				return true;
			}
			first = current;
		}
		return false;
	}

}
