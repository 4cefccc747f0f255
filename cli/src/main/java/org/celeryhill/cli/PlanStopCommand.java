package org.celeryhill.cli;

import java.util.List;
import java.util.Locale;

import org.celeryhill.state.PlannedStop;
import org.celeryhill.state.PlannedStopStore;
import org.celeryhill.state.StopTarget;
import org.celeryhill.state.StoreUnavailable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Announces, cancels or clears a planned stop.
 */
@Command(name = "plan-stop", mixinStandardHelpOptions = true,
		description = "Announces a planned stop. When 'celeryhill status' shows DONE, the target can be stopped without "
				+ "interrupting a request.")
final class PlanStopCommand extends AbstractStoreCommand {

	/** Kind of the target that is stopped. */
	@Parameters(index = "0", paramLabel = "KIND", converter = KindConverter.class,
			description = "One of entry-host, planner, backend-server, data-centre.")
	private StopTarget.Kind kind;

	/** Id of the host, backend server or data centre. */
	@Parameters(index = "1", paramLabel = "ID", description = "Id of the host, backend server or data centre.")
	private String id;

	/** Action on the planned stop. */
	@Option(names = "--action", defaultValue = "ANNOUNCE", description = "One of ${COMPLETION-CANDIDATES}. "
			+ "CANCEL withdraws the announcement, CLEAR lets the target receive work again after the stop.")
	private Action action;

	/** Operator that is recorded with the announcement. */
	@Option(names = "--author", defaultValue = "${sys:user.name}",
			description = "Operator, recorded with the announcement.")
	private String author;

	/** Reason that is recorded with the announcement. */
	@Option(names = "--reason", defaultValue = "", description = "Reason, recorded with the announcement.")
	private String reason;

	@Override
	ExitCode runWithStores() {
		PlannedStopStore stopStore = stores().plannedStops();
		PlannedStopStore.StopResult result = this.action.execute(this, stopStore, new StopTarget(this.kind, this.id));
		if (result instanceof StoreUnavailable failure) {
			return reportUnavailable(failure);
		}
		if (!(result instanceof PlannedStopStore.StoredStop stop)) {
			printError("no planned stop of " + this.kind.name().toLowerCase(Locale.ROOT) + " " + this.id);
			return ExitCode.REFUSED;
		}
		print(List.of(PlannedStopRows.toRow(stop.stop())));
		if (!this.action.isAppliedIn(stop.stop().state())) {
			printError("the stop is " + stop.stop().state() + " and was not changed");
			return ExitCode.REFUSED;
		}
		return ExitCode.OK;
	}

	private static PlannedStopStore.StopResult updateIfFound(PlannedStopStore stopStore, StopTarget target,
			java.util.function.Function<PlannedStop, PlannedStopStore.StopResult> update) {
		PlannedStopStore.StopResult found = stopStore.find(target);
		return (found instanceof PlannedStopStore.StoredStop stop) ? update.apply(stop.stop()) : found;
	}

	/** Action on a planned stop. */
	enum Action {

		/** Announces the stop. */
		ANNOUNCE {
			@Override
			PlannedStopStore.StopResult execute(PlanStopCommand command, PlannedStopStore stopStore,
					StopTarget target) {
				return stopStore.announce(target, command.author, command.reason);
			}

			@Override
			boolean isAppliedIn(PlannedStop.State state) {
				return state != PlannedStop.State.CANCELLED && state != PlannedStop.State.CLEARED;
			}
		},

		/** Withdraws the announcement. */
		CANCEL {
			@Override
			PlannedStopStore.StopResult execute(PlanStopCommand command, PlannedStopStore stopStore,
					StopTarget target) {
				return updateIfFound(stopStore, target, stopStore::cancel);
			}

			@Override
			boolean isAppliedIn(PlannedStop.State state) {
				return state == PlannedStop.State.CANCELLED;
			}
		},

		/** Makes the target eligible for work again after it was stopped. */
		CLEAR {
			@Override
			PlannedStopStore.StopResult execute(PlanStopCommand command, PlannedStopStore stopStore,
					StopTarget target) {
				return updateIfFound(stopStore, target, stopStore::clear);
			}

			@Override
			boolean isAppliedIn(PlannedStop.State state) {
				return state == PlannedStop.State.CLEARED;
			}
		};

		/**
		 * Performs the action.
		 * @param command the command with the author and reason to record
		 * @param stopStore the store of planned stops
		 * @param target the target of the stop
		 * @return the stop after the action, or why there is none
		 */
		abstract PlannedStopStore.StopResult execute(PlanStopCommand command, PlannedStopStore stopStore,
				StopTarget target);

		/**
		 * Returns whether a stop in a state shows that the action took effect.
		 * @param state the state of the stop after the action
		 * @return false if the stop was not changed
		 */
		abstract boolean isAppliedIn(PlannedStop.State state);

	}

	/**
	 * Converts the name of a target kind on the command line, such as {@code entry-host}.
	 */
	static final class KindConverter implements picocli.CommandLine.ITypeConverter<StopTarget.Kind> {

		@Override
		public StopTarget.Kind convert(String text) {
			try {
				return StopTarget.Kind.valueOf(text.toUpperCase(Locale.ROOT).replace('-', '_'));
			}
			catch (IllegalArgumentException ex) {
				throw new picocli.CommandLine.TypeConversionException(
						"unknown kind '" + text + "', expected entry-host, planner, backend-server or data-centre");
			}
		}

	}

}
