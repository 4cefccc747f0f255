package org.celeryhill.placement;

import java.util.ArrayList;
import java.util.List;

import org.celeryhill.base.DataCentre;
import org.celeryhill.base.ModelId;
import org.celeryhill.config.ModelSpec;

/**
 * One model or adapter during a planning round. Not thread-safe.
 */
final class ModelView {

	/** Identifier with version. */
	final ModelId id;

	/** Specification, or null if the revision does not list the model. */
	final ModelSpec spec;

	/** Copies on all engines. */
	final List<Replica> replicas = new ArrayList<>();

	/** Ready replicas to keep where memory allows; zero for adapters. */
	int need;

	/** Demand used for decisions. */
	DemandTracker.Estimate demand = DemandTracker.Estimate.NONE;

	/** Requests that wait now. */
	int waiting;

	/** Mean load of the engines that hold the model, relative to the mean engine. */
	double congestion = 1;

	/** Listed model of the same family that replaces this one, or null. */
	ModelView successor;

	/** Whether no memory was found for a needed replica in this round. */
	boolean isBlocked;

	/** Whether the model has next to no demand and nothing waits for it. */
	boolean isIdle;

	/** Latest decision in this round, for explanations. */
	String reason = "";

	/** Copies that are ready on engines that stay. */
	private int ready;

	/** Copies that are or will be ready on engines that stay. */
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
	 * Returns the identifier without its version.
	 * @param id the model
	 * @return the identifier without its version
	 */
	static String familyOf(ModelId id) {
		int at = id.value().lastIndexOf('@');
		return (at > 0) ? id.value().substring(0, at) : id.value();
	}

	/**
	 * Adds a copy.
	 * @param replica the copy
	 */
	void add(Replica replica) {
		this.replicas.add(replica);
		this.ready += replica.isDependable() ? 1 : 0;
		this.expected += replica.isExpected() ? 1 : 0;
	}

	/** Counts the copies again after a change. */
	void recount() {
		int readyNow = 0;
		int expectedNow = 0;
		for (Replica replica : this.replicas) {
			readyNow += replica.isDependable() ? 1 : 0;
			expectedNow += replica.isExpected() ? 1 : 0;
		}
		this.ready = readyNow;
		this.expected = expectedNow;
	}

	/**
	 * Returns the copies that are ready on engines that stay.
	 * @return the copies that are ready on engines that stay
	 */
	int ready() {
		return this.ready;
	}

	/**
	 * Returns the copies that are or will be ready on engines that stay.
	 * @return the copies that are or will be ready on engines that stay
	 */
	int expected() {
		return this.expected;
	}

	/**
	 * Returns whether any copy can serve now, also on an engine that leaves.
	 * @return true if so
	 */
	boolean isServed() {
		for (Replica replica : this.replicas) {
			if (replica.isServing() && replica.engine.isStarting && !replica.engine.state.isSuspect()) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Returns the ready copies other than one.
	 * @param one the copy to leave out
	 * @return the ready copies other than one
	 */
	int readyWithout(Replica one) {
		return this.ready - (one.isDependable() ? 1 : 0);
	}

	/**
	 * Returns whether expected copies are in a data centre.
	 * @param dataCentre the data centre
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
	 * Returns whether expected copies are in two data centres.
	 * @return true if so
	 */
	boolean isSpread() {
		DataCentre first = null;
		for (Replica replica : this.replicas) {
			if (!replica.isExpected()) {
				continue;
			}
			DataCentre here = replica.engine.state.dataCentre();
			if (first != null && !first.equals(here)) {
				return true;
			}
			first = here;
		}
		return false;
	}

	/**
	 * Returns whether ready copies stay in two data centres without one of them.
	 * @param one the copy to leave out
	 * @return true if so
	 */
	boolean isSpreadWithout(Replica one) {
		DataCentre first = null;
		for (Replica replica : this.replicas) {
			if (replica == one || !replica.isDependable()) {
				continue;
			}
			DataCentre here = replica.engine.state.dataCentre();
			if (first != null && !first.equals(here)) {
				return true;
			}
			first = here;
		}
		return false;
	}

}
