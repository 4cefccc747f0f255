package org.celeryhill.traffic;

import java.util.Map;
import java.util.Set;

import org.celeryhill.base.ModelId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.PriorityClass;

/**
 * Waiting requests of one organisation for one service. Classes share the organisation's
 * part by start-time fair queueing; the most urgent class goes first on ties, which is
 * always the case while it stays within its share. Under pressure lower classes fall to
 * their floors, batch before normal. Not thread-safe.
 */
final class OrganisationQueue {

	/** Wait relative to the target from which on lower classes fall to their floors. */
	private static final double PRESSURE = 0.25;

	/** Smallest share, so that a class with floor 0 still progresses. */
	private static final double LEAST_SHARE = 0.01;

	/** Number of classes. */
	private static final int CLASSES = PriorityClass.values().length;

	/** Organisation. */
	final OrganisationId id;

	/** Queue over all organisations. */
	final FairQueue parent;

	/** Queues by class. */
	final ClassQueue[] classes = new ClassQueue[CLASSES];

	/** Weight, replaced with each configuration. */
	double weight = 1;

	/** Classes that callers may ask for, empty if the organisation is not configured. */
	Set<PriorityClass> allowed = Set.of();

	/** Routes of the models that the organisation may use. */
	Map<ModelId, ModelRoute> models = Map.of();

	/** Virtual start time of the next request, in tokens per weight. */
	double tag;

	/** Virtual time of the urgent usage alone, in tokens per weight. */
	double urgentTag;

	/** Virtual time over the classes. */
	private double classTime;

	/** Estimated tokens of all classes that were sent. */
	private double usage;

	/** Shares of the classes as last computed. */
	private final double[] shares = new double[CLASSES];

	/** Least urgent class that is not held at its floor. */
	private int floorFrom = CLASSES;

	/**
	 * Creates an empty queue.
	 * @param parent the queue over all organisations
	 * @param id the organisation
	 */
	OrganisationQueue(FairQueue parent, OrganisationId id) {
		this.parent = parent;
		this.id = id;
		for (PriorityClass priority : PriorityClass.values()) {
			this.classes[priority.ordinal()] = new ClassQueue(this, priority);
		}
	}

	/**
	 * Takes note that a class has its first waiting request.
	 * @param queue the class
	 */
	void activated(ClassQueue queue) {
		queue.tag = Math.max(queue.tag, this.classTime);
		queue.floorTag = Math.max(queue.floorTag, this.usage);
		int others = 0;
		for (ClassQueue one : this.classes) {
			others += one.count();
		}
		if (others == 0) {
			this.parent.activated(this);
		}
	}

	/**
	 * Returns whether a request may find room.
	 * @return true if at least one class is ready
	 */
	boolean isReady() {
		for (ClassQueue queue : this.classes) {
			if (queue.isReady()) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Returns whether a request of a class may find room.
	 * @param priority the class
	 * @return true if so
	 */
	boolean isReady(PriorityClass priority) {
		return this.classes[priority.ordinal()].isReady();
	}

	/**
	 * Returns the urgent class out of turn.
	 * @param now the time in nanoseconds
	 * @return the class
	 */
	ClassQueue urgent(long now) {
		updateShares(now);
		return this.classes[PriorityClass.URGENT.ordinal()];
	}

	/**
	 * Charges urgent usage alone. The floors of the lower classes are not available to
	 * urgent requests that go before everything else.
	 * @param earliest the least virtual time, which bounds the credit
	 * @param cost the estimated tokens
	 */
	void chargeUrgent(double earliest, double cost) {
		double floors = 0;
		for (ClassQueue queue : this.classes) {
			floors += (queue.priority != PriorityClass.URGENT) ? queue.target.floor() : 0;
		}
		double part = this.weight * Math.max(LEAST_SHARE, 1 - floors);
		this.urgentTag = Math.max(this.urgentTag, earliest) + cost / part;
	}

	/**
	 * Returns the class whose turn it is.
	 * @param now the time in nanoseconds
	 * @return the class, null if none is ready
	 */
	ClassQueue next(long now) {
		updateShares(now);
		ClassQueue best = owed();
		if (best != null) {
			return best;
		}
		for (ClassQueue queue : this.classes) {
			if (queue.isReady() && (best == null || queue.tag < best.tag)) {
				best = queue;
			}
		}
		return best;
	}

	private ClassQueue owed() {
		ClassQueue best = null;
		for (ClassQueue queue : this.classes) {
			boolean isOwed = queue.priority != PriorityClass.URGENT && queue.target.floor() > 0
					&& queue.floorTag <= this.usage;
			if (isOwed && queue.isReady() && (best == null || queue.floorTag < best.floorTag)) {
				best = queue;
			}
		}
		return best;
	}

	/**
	 * Charges a request that is sent.
	 * @param queue the class
	 * @param cost the estimated tokens
	 * @param isInTurn whether it was the turn of the class; otherwise the virtual time
	 * does not follow its tag
	 */
	void charge(ClassQueue queue, double cost, boolean isInTurn) {
		if (isInTurn) {
			this.classTime = Math.max(this.classTime, queue.tag);
		}
		queue.tag += cost / this.shares[queue.priority.ordinal()];
		queue.floorTag += cost / Math.max(LEAST_SHARE, queue.target.floor());
		this.usage += cost;
	}

	/**
	 * Returns the part of the organisation's capacity that a class can count on.
	 * @param priority the class
	 * @return the share, between 0 and 1
	 */
	double share(PriorityClass priority) {
		return this.shares[priority.ordinal()];
	}

	/**
	 * Returns the number of waiting requests.
	 * @return the number
	 */
	int count() {
		int sum = 0;
		for (ClassQueue queue : this.classes) {
			sum += queue.count();
		}
		return sum;
	}

	/**
	 * Returns the least urgent class that is not held at its floor.
	 * @return the ordinal of the first class at its floor, 3 if none is
	 */
	int floorFrom() {
		return this.floorFrom;
	}

	private void updateShares(long now) {
		this.floorFrom = CLASSES;
		if (this.classes[0].pressure(now) > PRESSURE) {
			this.floorFrom = 1;
		}
		else if (this.classes[1].pressure(now) > PRESSURE) {
			this.floorFrom = 2;
		}
		double floors = 0;
		double weights = 0;
		for (int i = 0; i < CLASSES; i++) {
			if (i >= this.floorFrom) {
				floors += Math.max(LEAST_SHARE, this.classes[i].target.floor());
			}
			else {
				weights += this.classes[i].target.weight();
			}
		}
		double rest = Math.max(LEAST_SHARE, 1 - floors);
		for (int i = 0; i < CLASSES; i++) {
			double floor = Math.max(LEAST_SHARE, this.classes[i].target.floor());
			double share = rest * this.classes[i].target.weight() / weights;
			this.shares[i] = (i >= this.floorFrom) ? floor : Math.max(floor, share);
		}
	}

}
