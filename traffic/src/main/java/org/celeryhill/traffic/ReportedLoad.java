package org.celeryhill.traffic;

/**
 * Load that other daemons have on a backend server, as far as its reports tell. Servers
 * that don't state their pace are taken at their word until their next report. For the
 * others the load decays towards its mean as the latest report ages. Not thread-safe.
 */
final class ReportedLoad {

	/**
	 * Time after which a report says little about the calls that other daemons have on a
	 * plain service, in nanoseconds: several service times.
	 */
	private static final double CALL_MEMORY_NANOS = 250e6;

	/** The same for an engine, whose streams run for seconds. */
	private static final double STREAM_MEMORY_NANOS = 2e9;

	/** Pace and measured speed of the server. */
	private final ServerSpeed speed;

	/** Units in use by other daemons according to the latest report. */
	private long latestUnits;

	/** Units in use by other daemons over time. */
	private DecayingEstimate units = new DecayingEstimate(0, CALL_MEMORY_NANOS);

	/** Number of loads that the server has stated. */
	private long sequence;

	/** Whether the latest state contained a load that was not known before. */
	private boolean isNew;

	/**
	 * Creates a load without reports.
	 * @param speed the pace and measured speed of the server, which receives the stated
	 * paces
	 */
	ReportedLoad(ServerSpeed speed) {
		this.speed = speed;
	}

	/**
	 * Notes the number and the pace of the load in a state of the server. Forgets what is
	 * known if it is that of a new process.
	 * @param view the state
	 * @param now the current time in nanoseconds
	 */
	void observe(BackendView view, long now) {
		if (view.loadSequence() < this.sequence) {
			this.speed.reset();
			this.sequence = 0;
			this.latestUnits = 0;
		}
		if (this.sequence == 0) {
			this.units = new DecayingEstimate(0, view.report().isPresent() ? STREAM_MEMORY_NANOS : CALL_MEMORY_NANOS);
		}
		this.isNew = view.loadSequence() > this.sequence;
		this.sequence = view.loadSequence();
		if (this.isNew) {
			this.speed.addPace(view, now);
		}
	}

	/**
	 * Returns whether the load in the latest state says something new. A state that is
	 * published again for another reason does not.
	 * @return true for each state of a server that doesn't state its pace
	 */
	boolean isCurrent() {
		return this.isNew || !this.speed.isStated();
	}

	/**
	 * Sets the units in use according to the latest report.
	 * @param used the units in use by other daemons
	 * @param now the current time in nanoseconds
	 */
	void set(long used, long now) {
		this.latestUnits = used;
		if (this.isNew) {
			this.units.add(used, now);
			this.isNew = false;
		}
	}

	/**
	 * Returns the units in use according to the latest report.
	 * @return the units in use by other daemons
	 */
	long latestUnits() {
		return this.latestUnits;
	}

	/**
	 * Returns the units that are expected to be in use.
	 * @param now the current time in nanoseconds
	 * @return the units in use by other daemons
	 */
	double units(long now) {
		return this.speed.isStated() ? this.units.at(now) : this.latestUnits;
	}

	/**
	 * Returns one of the loads that are possible in view of the age of the latest report.
	 * The number of independent requests varies by about its square root; the range is
	 * twice that and one request more. The mean of few reports is uncertain too.
	 * @param load the expected load, relative to the limit
	 * @param units the units of one request
	 * @param limit the limit in units, at least 1
	 * @param position the position among the possible loads, from 0 for the lowest to 1
	 * for the highest
	 * @param now the current time in nanoseconds
	 * @return the load relative to the limit; the expected one for a server that doesn't
	 * state its pace
	 */
	double possibleLoad(double load, int units, double limit, double position, long now) {
		if (!this.speed.isStated()) {
			return load;
		}
		double deviation = Math.sqrt(Math.max(0, this.units.mean()) * units);
		double difference = (2 * deviation + units) / limit + this.units.meanUncertainty();
		difference = Math.min(1, difference) * this.units.staleness(now);
		double lowest = Math.max(0, load - difference);
		return lowest + position * (load + difference - lowest);
	}

	/**
	 * Returns the age of the latest report.
	 * @param now the current time in nanoseconds
	 * @return the age in nanoseconds, -1 without a report or if reports are not counted
	 */
	long ageNanos(long now) {
		return this.units.ageNanos(now);
	}

}
