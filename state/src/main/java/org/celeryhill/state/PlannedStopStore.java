package org.celeryhill.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

import org.celeryhill.base.TimerService;
import org.celeryhill.port.Row;
import org.celeryhill.port.RowKey;
import org.celeryhill.port.RowWrite;
import org.celeryhill.port.TableService;

/**
 * Planned stops in the table {@code stop}, one row per target. Every operation blocks for
 * the bounded tries of the {@link ConditionalWriter} and never throws for a failure of
 * the store. Repeating an operation is harmless. Thread-safe.
 */
public final class PlannedStopStore {

	/** Table of the stops. */
	public static final String TABLE = "stop";

	/** Turns of read and write in one operation when other writers interfere. */
	private static final int MAX_TURNS = 4;

	/** Writer of the rows. */
	private final ConditionalWriter writer;

	/** Wall clock for display. */
	private final TimerService timer;

	private PlannedStopStore(ConditionalWriter writer, TimerService timer) {
		this.writer = Objects.requireNonNull(writer, "writer");
		this.timer = Objects.requireNonNull(timer, "timer");
	}

	/**
	 * Returns the stops.
	 * @param writer the writer of the rows, not null
	 * @param timer the time, not null
	 * @return the stops, never null
	 */
	public static PlannedStopStore create(ConditionalWriter writer, TimerService timer) {
		return new PlannedStopStore(writer, timer);
	}

	/**
	 * Announces a stop. A stop of the target that is under way is returned as it is; one
	 * that has ended is replaced. With the store absent nothing is announced, or the
	 * outcome is unknown and the operator repeats the announcement.
	 * @param target what is stopped, not null
	 * @param author the operator, not null
	 * @param reason why, not null
	 * @return the result
	 */
	public StopResult announce(StopTarget target, String author, String reason) {
		PlannedStop fresh = new PlannedStop(target, this.writer.nextAttemptId(), author, reason,
				this.timer.instant().toEpochMilli(), PlannedStop.State.ANNOUNCED, "");
		return change(target, (current) -> {
			boolean isUnderWay = current.map(PlannedStop::state)
				.filter((state) -> state == PlannedStop.State.ANNOUNCED || state == PlannedStop.State.DRAINING)
				.isPresent();
			return (isUnderWay) ? current : Optional.of(fresh);
		});
	}

	/**
	 * Stores the progress of a stop. A stop that is done or cancelled is not changed.
	 * With the store absent the progress is stored by a later call.
	 * @param stop the stop as it was listed, not null
	 * @param progress the progress, for display, not null
	 * @return the result
	 */
	public StopResult progress(PlannedStop stop, String progress) {
		return advance(stop, PlannedStop.State.DRAINING, progress);
	}

	/**
	 * Stores that the target can be stopped without interrupting a request. With the
	 * store absent the stop remains under way until a later call succeeds.
	 * @param stop the stop as it was listed, not null
	 * @return the result
	 */
	public StopResult markDone(PlannedStop stop) {
		return advance(stop, PlannedStop.State.DONE, "done");
	}

	/**
	 * Takes an announcement back. A stop that is done is not changed. With the store
	 * absent the operator repeats the call.
	 * @param stop the stop as it was listed, not null
	 * @return the result
	 */
	public StopResult cancel(PlannedStop stop) {
		return advance(stop, PlannedStop.State.CANCELLED, "cancelled");
	}

	/**
	 * Ends a stop that is done, so that the target gets work again. The row stays: a
	 * deleted row could be created again by an announcement that arrives late. A stop
	 * under way is not changed. With the store absent the caller repeats the call.
	 * @param stop the stop as it was listed, not null
	 * @return the result
	 */
	public StopResult clear(PlannedStop stop) {
		return advance(stop, PlannedStop.State.CLEARED, "cleared");
	}

	/**
	 * Reads the stop of a target. With the store absent callers keep what they know.
	 * @param target the target, not null
	 * @return the result
	 */
	public StopResult find(StopTarget target) {
		return change(target, Function.identity());
	}

	/**
	 * Reads all stops. With the store absent callers keep what they know.
	 * @return the result
	 */
	public ListResult list() {
		TableService.ScanResult result = this.writer.scan(TABLE, "");
		if (result instanceof TableService.ReadFailed failed) {
			return StoreUnavailable.unchanged(failed.reason());
		}
		List<PlannedStop> stops = new ArrayList<>();
		for (Row row : ((TableService.Rows) result).rows()) {
			StateJson.read(row.value(), PlannedStop.class).ifPresent(stops::add);
		}
		return new Listed(stops);
	}

	private StopResult advance(PlannedStop stop, PlannedStop.State state, String progress) {
		return change(stop.target(), (current) -> current.map((found) -> {
			boolean isSame = found.announcement().equals(stop.announcement());
			return (isSame && found.canChangeTo(state)) ? found.withState(state, progress) : found;
		}));
	}

	private StopResult change(StopTarget target, Function<Optional<PlannedStop>, Optional<PlannedStop>> rule) {
		RowKey key = RowKey.of(TABLE, target.toKey());
		boolean mayBeWritten = false;
		for (int turn = 0; turn < MAX_TURNS; turn++) {
			TableService.ReadResult result = this.writer.read(key);
			if (result instanceof TableService.ReadFailed failed) {
				return StoreUnavailable.unchanged(failed.reason()).after(mayBeWritten);
			}
			Optional<Row> row = (result instanceof TableService.Found found) ? Optional.of(found.row())
					: Optional.empty();
			Optional<PlannedStop> current = row.flatMap((one) -> StateJson.read(one.value(), PlannedStop.class));
			if (row.isPresent() && current.isEmpty()) {
				return StoreUnavailable.unchanged("malformed row of planned stop " + target.toKey());
			}
			Optional<PlannedStop> next = rule.apply(current);
			if (next.equals(current)) {
				return result(next);
			}
			String json = StateJson.write(next.orElseThrow());
			ConditionalWriter.Outcome outcome = this.writer
				.write(row.map((one) -> RowWrite.replace(one, json)).orElseGet(() -> RowWrite.create(key, json)));
			if (outcome instanceof ConditionalWriter.Applied) {
				return result(next);
			}
			if (outcome instanceof ConditionalWriter.NotApplied failed) {
				return StoreUnavailable.unchanged(failed.reason()).after(mayBeWritten);
			}
			if (outcome instanceof ConditionalWriter.Unresolved failed) {
				return StoreUnavailable.unknown(failed.reason());
			}
			mayBeWritten |= StoreUnavailable.mayBeWritten(outcome);
		}
		return StoreUnavailable.unchanged("other writers interfere with planned stop " + target.toKey())
			.after(mayBeWritten);
	}

	private static StopResult result(Optional<PlannedStop> stop) {
		return (stop.isPresent()) ? new StoredStop(stop.get()) : new NoStop();
	}

	/** Result of an operation on one stop. */
	public sealed interface StopResult permits StoredStop, NoStop, StoreUnavailable {

	}

	/**
	 * The stop as it is stored now.
	 *
	 * @param stop the stop, not null
	 */
	public record StoredStop(PlannedStop stop) implements StopResult {

	}

	/** The target has no stop. */
	public record NoStop() implements StopResult {

	}

	/** Result of {@link PlannedStopStore#list}. */
	public sealed interface ListResult permits Listed, StoreUnavailable {

	}

	/**
	 * All stops.
	 *
	 * @param stops the stops in key order, not null
	 */
	public record Listed(List<PlannedStop> stops) implements ListResult {

		/** Copies the list. */
		public Listed {
			stops = List.copyOf(stops);
		}

	}

}
