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

	/** Kind of the target. */
	@Parameters(index = "0", paramLabel = "KIND", converter = KindConverter.class,
			description = "One of entry-host, planner, backend-server, data-centre.")
	private StopTarget.Kind kind;

	/** Id of the target. */
	@Parameters(index = "1", paramLabel = "ID", description = "Host, backend server or data centre.")
	private String id;

	/** What to do. */
	@Option(names = "--action", defaultValue = "ANNOUNCE", description = "One of ${COMPLETION-CANDIDATES}. "
			+ "CANCEL takes an announcement back, CLEAR gives the target work again after it was stopped.")
	private Action action;

	/** Operator for the record. */
	@Option(names = "--author", defaultValue = "${sys:user.name}", description = "Operator, for the record.")
	private String author;

	/** Reason for the record. */
	@Option(names = "--reason", defaultValue = "", description = "Reason, for the record.")
	private String reason;

	@Override
	ExitCode runWithStores() {
		PlannedStopStore stops = stores().stops();
		PlannedStopStore.StopResult result = this.action.run(this, stops, new StopTarget(this.kind, this.id));
		if (result instanceof StoreUnavailable failure) {
			return unavailable(failure);
		}
		if (!(result instanceof PlannedStopStore.StoredStop stop)) {
			fail("no planned stop of " + this.kind.name().toLowerCase(Locale.ROOT) + " " + this.id);
			return ExitCode.REFUSED;
		}
		print(List.of(StopRows.row(stop.stop())));
		if (!this.action.isReached(stop.stop().state())) {
			fail("the stop is " + stop.stop().state() + " and was not changed");
			return ExitCode.REFUSED;
		}
		return ExitCode.OK;
	}

	private static PlannedStopStore.StopResult change(PlannedStopStore stops, StopTarget target,
			java.util.function.Function<PlannedStop, PlannedStopStore.StopResult> change) {
		PlannedStopStore.StopResult found = stops.find(target);
		return (found instanceof PlannedStopStore.StoredStop stop) ? change.apply(stop.stop()) : found;
	}

	/** What to do with a stop. */
	enum Action {

		/** Announces the stop. */
		ANNOUNCE {
			@Override
			PlannedStopStore.StopResult run(PlanStopCommand command, PlannedStopStore stops, StopTarget target) {
				return stops.announce(target, command.author, command.reason);
			}

			@Override
			boolean isReached(PlannedStop.State state) {
				return state != PlannedStop.State.CANCELLED && state != PlannedStop.State.CLEARED;
			}
		},

		/** Takes the announcement back. */
		CANCEL {
			@Override
			PlannedStopStore.StopResult run(PlanStopCommand command, PlannedStopStore stops, StopTarget target) {
				return change(stops, target, stops::cancel);
			}

			@Override
			boolean isReached(PlannedStop.State state) {
				return state == PlannedStop.State.CANCELLED;
			}
		},

		/** Gives the target work again. */
		CLEAR {
			@Override
			PlannedStopStore.StopResult run(PlanStopCommand command, PlannedStopStore stops, StopTarget target) {
				return change(stops, target, stops::clear);
			}

			@Override
			boolean isReached(PlannedStop.State state) {
				return state == PlannedStop.State.CLEARED;
			}
		};

		abstract PlannedStopStore.StopResult run(PlanStopCommand command, PlannedStopStore stops, StopTarget target);

		abstract boolean isReached(PlannedStop.State state);

	}

	/** Reads a kind as it is written on the command line. */
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
