package org.celeryhill.cli;

import org.celeryhill.state.StoreUnavailable;
import picocli.CommandLine.Mixin;

/**
 * Base class of the commands that connect to the services of the platform.
 */
abstract class AbstractStoreCommand extends AbstractCommand {

	/** Connection to the services of the platform. */
	@Mixin
	private StoreConnection stores;

	StoreConnection stores() {
		return this.stores;
	}

	@Override
	final ExitCode run() {
		try {
			return runWithStores();
		}
		finally {
			this.stores.close();
		}
	}

	/**
	 * Runs the command. The caller closes the connections afterwards.
	 * @return the exit code, never null
	 */
	abstract ExitCode runWithStores();

	/**
	 * Prints that the stores are unavailable and whether anything was changed.
	 * @param failure the failed operation, not null
	 * @return {@link ExitCode#UNAVAILABLE}
	 */
	ExitCode reportUnavailable(StoreUnavailable failure) {
		String consequence = (failure.isOutcomeUnknown())
				? "; the outcome of the change is unknown, run the same command again to find out"
				: "; nothing was changed, try again later";
		printError("store unavailable: " + failure.reason() + consequence);
		return ExitCode.UNAVAILABLE;
	}

}
