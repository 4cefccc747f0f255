package org.celeryhill.soak;

import org.celeryhill.platform.FakePlatformStore;

/**
 * Kind of fault that the soak injects from outside, with the range of its duration. A
 * fault acts on one daemon, on one or all servers, or on the store.
 */
enum FaultKind {

	/** SIGTERM, and a restart after the process has ended. */
	STOP(Scope.DAEMON, 3, 100, 1000) {
		@Override
		void begin(Site site, FaultStep step) {
			site.fleet().daemon(step.target()).stop(step.millis());
		}
	},

	/** SIGKILL, and a restart after the process has ended. */
	KILL(Scope.DAEMON, 2, 100, 1000) {
		@Override
		void begin(Site site, FaultStep step) {
			site.fleet().daemon(step.target()).kill(step.millis());
		}
	},

	/** SIGSTOP, and SIGCONT after the duration. */
	PAUSE(Scope.DAEMON, 2, 50, 4000) {
		@Override
		void begin(Site site, FaultStep step) {
			site.fleet().daemon(step.target()).pause();
		}

		@Override
		void end(Site site, FaultStep step) {
			site.fleet().daemon(step.target()).resume();
		}
	},

	/** SIGTERM to all daemons one after another, within the duration. */
	ROLL(Scope.ALL_DAEMONS, 1, 2000, 6000) {
		@Override
		void begin(Site site, FaultStep step) {
			int count = site.fleet().size();
			for (int i = 0; i < count; i++) {
				EdgeProcess daemon = site.fleet().daemon(step.target() + i);
				site.clock().after(step.millis() * i / count, () -> daemon.stop(ROLL_RESTART_MILLIS));
			}
		}
	},

	/** The store sends no response. */
	STORE_SILENT(Scope.STORE, 1, 500, 5000, FakePlatformStore.Fault.SILENT),

	/** The store refuses each call. */
	STORE_BUSY(Scope.STORE, 1, 500, 5000, FakePlatformStore.Fault.BUSY),

	/** The store executes writes but sends no response to them. */
	STORE_LOST(Scope.STORE, 1, 500, 3000, FakePlatformStore.Fault.LOST_RESPONSES),

	/** The store discards its history of changes. */
	STORE_HISTORY(Scope.STORE, 1, 1, 2, FakePlatformStore.Fault.NONE) {
		@Override
		void begin(Site site, FaultStep step) {
			site.storeFaults().dropHistory();
		}
	},

	/** Servers run requests and answer with a failure. */
	FAIL(Scope.SERVERS, 2, 500, 4000),

	/** Servers refuse requests as not run. */
	REFUSE(Scope.SERVERS, 2, 500, 4000),

	/** Servers reset connections before or after the run, without a response. */
	RESET(Scope.SERVERS, 2, 500, 4000),

	/** Servers break off their responses. */
	TRUNCATE(Scope.SERVERS, 2, 500, 4000),

	/** Servers run requests and answer with a head that is not valid HTTP. */
	MALFORM(Scope.SERVERS, 2, 500, 4000),

	/** Servers work longer. */
	SLOW(Scope.SERVERS, 1, 500, 3000),

	/** Servers send a response a second time, whole or in part, at once or late. */
	STUTTER(Scope.SERVERS, 6, 1000, 8000),

	/** A server leaves the list and comes back without an end of its process. */
	LEAVE(Scope.SERVER, 2, 200, 3000) {
		@Override
		void begin(Site site, FaultStep step) {
			site.servers().leave(step.target());
		}

		@Override
		void end(Site site, FaultStep step) {
			site.servers().join(step.target());
		}
	},

	/** A server ends and comes back under the same id at another address. */
	RETURN(Scope.SERVER, 2, 200, 3000) {
		@Override
		void begin(Site site, FaultStep step) {
			site.servers().end(step.target());
		}

		@Override
		void end(Site site, FaultStep step) {
			site.servers().restart(step.target());
		}
	};

	private static final int ROLL_RESTART_MILLIS = 100;

	private final Scope scope;

	private final int weight;

	private final int minMillis;

	private final int maxMillis;

	private final FakePlatformStore.Fault storeFault;

	FaultKind(Scope scope, int weight, int minMillis, int maxMillis) {
		this(scope, weight, minMillis, maxMillis, FakePlatformStore.Fault.NONE);
	}

	FaultKind(Scope scope, int weight, int minMillis, int maxMillis, FakePlatformStore.Fault storeFault) {
		this.storeFault = storeFault;
		this.scope = scope;
		this.weight = weight;
		this.minMillis = minMillis;
		this.maxMillis = maxMillis;
	}

	int weight() {
		return this.weight;
	}

	int minMillis() {
		return this.minMillis;
	}

	int maxMillis() {
		return this.maxMillis;
	}

	/**
	 * Returns the number of targets to draw from.
	 * @param daemons the number of daemons
	 * @param servers the number of servers
	 * @return the number of targets, at least 1
	 */
	int targetCount(int daemons, int servers) {
		return switch (this.scope) {
			case DAEMON, ALL_DAEMONS -> daemons;
			// The last target stands for all servers.
			case SERVERS -> servers + 1;
			case SERVER -> servers;
			case STORE -> 1;
		};
	}

	/**
	 * Begins a fault. Must not block.
	 * @param site the site, not null
	 * @param step the fault, not null
	 */
	void begin(Site site, FaultStep step) {
		if (this.scope == Scope.STORE) {
			site.storeFaults().begin(this.storeFault);
		}
		else {
			site.servers().begin(this, step.target());
		}
	}

	/**
	 * Ends a fault after its duration. Must not block.
	 * @param site the site, not null
	 * @param step the fault, not null
	 */
	void end(Site site, FaultStep step) {
		if (this.scope == Scope.SERVERS) {
			site.servers().end(this, step.target());
		}
		else if (this.scope == Scope.STORE) {
			site.storeFaults().end(this.storeFault);
		}
	}

	private enum Scope {

		DAEMON, ALL_DAEMONS, STORE, SERVERS, SERVER

	}

}
