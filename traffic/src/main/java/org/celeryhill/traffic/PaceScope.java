package org.celeryhill.traffic;

/**
 * Backend servers whose stated pace takes part in the choice of servers.
 */
public enum PaceScope {

	/** All servers. */
	ALL_SERVERS {
		@Override
		boolean includes(BackendView view) {
			return true;
		}
	},

	/** Servers of plain services. The pace of model engines is shown only. */
	PLAIN_SERVERS {
		@Override
		boolean includes(BackendView view) {
			return view.report().isEmpty();
		}
	};

	/**
	 * Returns whether the pace of a server takes part.
	 * @param view the latest state of the server, not null
	 * @return whether it does
	 */
	abstract boolean includes(BackendView view);

}
