package org.celeryhill.traffic;

import java.util.Map;
import java.util.Set;

import org.celeryhill.base.ModelId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.PriorityClass;

/**
 * Waiting requests of one organisation for one service. The priority classes share the
 * organisation's capacity by start-time fair queueing. Ties go to the most urgent class;
 * a class that stays within its share always ties. Under pressure the lower classes are
 * held at their floors, batch before normal. Not thread-safe.
 */
final class OrganisationQueue {

	/**
	 * Wait of a class relative to its target above which lower classes are held at their
	 * floors.
	 */
	private static final double PRESSURE_THRESHOLD = 0.25;

	/** Smallest share of a class, so that a class with floor 0 still makes progress. */
	private static final double MIN_SHARE = 0.01;

	/** Number of priority classes. */
	private static final int CLASS_COUNT = PriorityClass.values().length;

	/** Id of the organisation. */
	final OrganisationId id;

	/** Queue over all organisations of the service. */
	final FairQueue fairQueue;

	/** Queues of the priority classes, by ordinal. */
	final ClassQueue[] classes = new ClassQueue[CLASS_COUNT];

	/** Weight of the organisation in the configuration. */
	double configuredWeight = 1;

	/** Weight of the organisation, which may follow its usual demand. */
	double weight = 1;

	/** Usual demand of the organisation. */
	final UsualDemand demand = new UsualDemand();

	/**
	 * Priority classes that requests may use, empty if the organisation is not
	 * configured.
	 */
	Set<PriorityClass> allowedClasses = Set.of();

	/** Routes of the models that the organisation may use. */
	Map<ModelId, ModelRoute> models = Map.of();

	/**
	 * Start tag of the next request in the queue over all organisations, in tokens per
	 * unit of weight.
	 */
	double startTag;

	/** Start tag that counts the urgent usage only, in tokens per unit of weight. */
	double urgentStartTag;

	/** Virtual time of the fair queueing over the classes. */
	private double classVirtualTime;

	/** Estimated tokens of all sent requests. */
	private double sentTokens;

	/** Current shares of the classes, by ordinal. */
	private final double[] shares = new double[CLASS_COUNT];

	/**
	 * Ordinal of the first class that is held at its floor, the number of classes if none
	 * is.
	 */
	private int firstClassAtFloor = CLASS_COUNT;

	/**
	 * Creates an empty queue.
	 * @param fairQueue the queue over all organisations
	 * @param id the id of the organisation
	 */
	OrganisationQueue(FairQueue fairQueue, OrganisationId id) {
		this.fairQueue = fairQueue;
		this.id = id;
		for (PriorityClass priority : PriorityClass.values()) {
			this.classes[priority.ordinal()] = new ClassQueue(this, priority);
		}
	}

	/**
	 * Brings the tags of a class up to date before its first waiting request is added, so
	 * that an idle class saves up no credit.
	 * @param queue the class
	 */
	void activate(ClassQueue queue) {
		queue.startTag = Math.max(queue.startTag, this.classVirtualTime);
		queue.floorTag = Math.max(queue.floorTag, this.sentTokens);
		int waiting = 0;
		for (ClassQueue other : this.classes) {
			waiting += other.waitingCount();
		}
		if (waiting == 0) {
			this.fairQueue.activate(this);
		}
	}

	/**
	 * Returns whether any class has a request that may find capacity.
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
	 * Returns whether a class has a request that may find capacity.
	 * @param priority the class
	 * @return true if the class is ready
	 */
	boolean isReady(PriorityClass priority) {
		return this.classes[priority.ordinal()].isReady();
	}

	/**
	 * Updates the shares and returns the urgent class, regardless of the start tags.
	 * @param now the current time in nanoseconds
	 * @return the class
	 */
	ClassQueue urgentClass(long now) {
		updateShares(now);
		return this.classes[PriorityClass.URGENT.ordinal()];
	}

	/**
	 * Charges usage to the urgent start tag. The floors of the lower classes are not
	 * available to urgent requests that are served before everything else, so they are
	 * left out of the weight.
	 * @param minTag the lower bound of the tag, which limits the credit that idle time
	 * gives
	 * @param cost the estimated tokens
	 */
	void chargeUrgent(double minTag, double cost) {
		double floors = 0;
		for (ClassQueue queue : this.classes) {
			floors += (queue.priority != PriorityClass.URGENT) ? queue.target.floor() : 0;
		}
		double urgentWeight = this.weight * Math.max(MIN_SHARE, 1 - floors);
		this.urgentStartTag = Math.max(this.urgentStartTag, minTag) + cost / urgentWeight;
	}

	/**
	 * Returns the class to serve next.
	 * @param now the current time in nanoseconds
	 * @return the class, null if none is ready
	 */
	ClassQueue nextClass(long now) {
		updateShares(now);
		ClassQueue best = furthestBehindFloor();
		if (best != null) {
			return best;
		}
		for (ClassQueue queue : this.classes) {
			if (queue.isReady() && (best == null || queue.startTag < best.startTag)) {
				best = queue;
			}
		}
		return best;
	}

	// Returns the ready class that is furthest behind its floor, null if none is behind.
	private ClassQueue furthestBehindFloor() {
		ClassQueue best = null;
		for (ClassQueue queue : this.classes) {
			boolean isBehindFloor = queue.priority != PriorityClass.URGENT && queue.target.floor() > 0
					&& queue.floorTag <= this.sentTokens;
			if (isBehindFloor && queue.isReady() && (best == null || queue.floorTag < best.floorTag)) {
				best = queue;
			}
		}
		return best;
	}

	/**
	 * Charges a sent request to its class.
	 * @param queue the class
	 * @param cost the estimated tokens
	 * @param isInTurn whether the class was selected by its start tag; if not, the
	 * virtual time does not advance to the tag
	 */
	void charge(ClassQueue queue, double cost, boolean isInTurn) {
		if (isInTurn) {
			this.classVirtualTime = Math.max(this.classVirtualTime, queue.startTag);
		}
		queue.startTag += cost / this.shares[queue.priority.ordinal()];
		queue.floorTag += cost / Math.max(MIN_SHARE, queue.target.floor());
		this.sentTokens += cost;
	}

	/**
	 * Returns the fraction of the organisation's capacity that a class can rely on.
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
	int waitingCount() {
		int sum = 0;
		for (ClassQueue queue : this.classes) {
			sum += queue.waitingCount();
		}
		return sum;
	}

	/**
	 * Returns the ordinal of the first class that is held at its floor.
	 * @return the ordinal, 3 if no class is held at its floor
	 */
	int firstClassAtFloor() {
		return this.firstClassAtFloor;
	}

	private void updateShares(long now) {
		this.firstClassAtFloor = CLASS_COUNT;
		if (this.classes[0].pressure(now) > PRESSURE_THRESHOLD) {
			this.firstClassAtFloor = 1;
		}
		else if (this.classes[1].pressure(now) > PRESSURE_THRESHOLD) {
			this.firstClassAtFloor = 2;
		}
		double floors = 0;
		double weights = 0;
		for (int i = 0; i < CLASS_COUNT; i++) {
			if (i >= this.firstClassAtFloor) {
				floors += Math.max(MIN_SHARE, this.classes[i].target.floor());
			}
			else {
				weights += this.classes[i].target.weight();
			}
		}
		double rest = Math.max(MIN_SHARE, 1 - floors);
		for (int i = 0; i < CLASS_COUNT; i++) {
			double floor = Math.max(MIN_SHARE, this.classes[i].target.floor());
			double share = rest * this.classes[i].target.weight() / weights;
			this.shares[i] = (i >= this.firstClassAtFloor) ? floor : Math.max(floor, share);
		}
	}

}
