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
 * Store of the planned stops, in the table {@code stop} with one row per target. Every
 * operation blocks while the {@link ConditionalWriter} makes its bounded tries, and does
 * not throw an exception if the store fails. Repeating an operation is harmless.
 * Thread-safe.
 */
public final class PlannedStopStore {

	/** Name of the table. */
	public static final String TABLE = "stop";

	/**
	 * Maximum number of read and write rounds of an operation when other writers change
	 * the row.
	 */
	private static final int MAX_ROUNDS = 4;

	/** Writer of the rows. */
	private final ConditionalWriter writer;

	/** Wall clock for the displayed time of an announcement. */
	private final TimerService timer;

	private PlannedStopStore(ConditionalWriter writer, TimerService timer) {
		this.writer = Objects.requireNonNull(writer, "writer");
		this.timer = Objects.requireNonNull(timer, "timer");
	}

	/**
	 * Returns the store.
	 * @param writer the writer of the rows, not null
	 * @param timer the source of the wall-clock time, not null
	 * @return the store, never null
	 */
	public static PlannedStopStore create(ConditionalWriter writer, TimerService timer) {
		return new PlannedStopStore(writer, timer);
	}

	/**
	 * Announces a stop. If a stop of the target is announced or draining, it is returned
	 * unchanged; one that has ended is replaced. If the store is unavailable, nothing is
	 * announced, or the outcome is unknown and the operator has to repeat the
	 * announcement.
	 * @param target the target to stop, not null
	 * @param author the operator who announces the stop, not null
	 * @param reason the reason for the stop, for display, not null
	 * @return the result
	 */
	public StopResult announce(StopTarget target, String author, String reason) {
		PlannedStop newStop = new PlannedStop(target, this.writer.nextAttemptId(), author, reason,
				this.timer.instant().toEpochMilli(), PlannedStop.State.ANNOUNCED, "");
		return updateRow(target, (current) -> {
			boolean isUnderWay = current.map(PlannedStop::state)
				.filter((state) -> state == PlannedStop.State.ANNOUNCED || state == PlannedStop.State.DRAINING)
				.isPresent();
			return (isUnderWay) ? current : Optional.of(newStop);
		});
	}

	/**
	 * Marks a stop as draining and stores its progress. A stop that is done, cleared or
	 * cancelled is not changed. If the store is unavailable, a later call stores the
	 * progress.
	 * @param stop the stop as returned by {@link #list}, not null
	 * @param progress a description of the progress, for display, not null
	 * @return the result
	 */
	public StopResult progress(PlannedStop stop, String progress) {
		return changeState(stop, PlannedStop.State.DRAINING, progress);
	}

	/**
	 * Marks a stop as done: the target can be stopped without interrupting a request. If
	 * the store is unavailable, the stop remains under way until a later call succeeds.
	 * @param stop the stop as returned by {@link #list}, not null
	 * @return the result
	 */
	public StopResult markDone(PlannedStop stop) {
		return changeState(stop, PlannedStop.State.DONE, "done");
	}

	/**
	 * Cancels a stop. A stop that is done is not changed. If the store is unavailable,
	 * the operator has to repeat the call.
	 * @param stop the stop as returned by {@link #list}, not null
	 * @return the result
	 */
	public StopResult cancel(PlannedStop stop) {
		return changeState(stop, PlannedStop.State.CANCELLED, "cancelled");
	}

	/**
	 * Clears a stop that is done, so that the target gets work again. A stop under way is
	 * not changed. The row is not deleted, because an announcement that arrives late
	 * could create a deleted row again. If the store is unavailable, the caller has to
	 * repeat the call.
	 * @param stop the stop as returned by {@link #list}, not null
	 * @return the result
	 */
	public StopResult clear(PlannedStop stop) {
		return changeState(stop, PlannedStop.State.CLEARED, "cleared");
	}

	/**
	 * Reads the stop of a target. If the store is unavailable, callers continue with the
	 * stop they last read.
	 * @param target the target, not null
	 * @return the result
	 */
	public StopResult find(StopTarget target) {
		return updateRow(target, Function.identity());
	}

	/**
	 * Reads all stops. If the store is unavailable, callers continue with the stops they
	 * last read.
	 * @return the result
	 */
	public ListResult list() {
		TableService.ScanResult result = this.writer.scan(TABLE, "");
		if (result instanceof TableService.ReadFailed failed) {
			return StoreUnavailable.nothingWritten(failed.reason());
		}
		List<PlannedStop> stops = new ArrayList<>();
		for (Row row : ((TableService.Rows) result).rows()) {
			StateJson.read(row.value(), PlannedStop.class).ifPresent(stops::add);
		}
		return new Listed(stops);
	}

	private StopResult changeState(PlannedStop stop, PlannedStop.State state, String progress) {
		return updateRow(stop.target(), (current) -> current.map((found) -> {
			boolean isSameAnnouncement = found.announcement().equals(stop.announcement());
			return (isSameAnnouncement && found.canChangeTo(state)) ? found.withState(state, progress) : found;
		}));
	}

	private StopResult updateRow(StopTarget target, Function<Optional<PlannedStop>, Optional<PlannedStop>> update) {
		RowKey key = RowKey.of(TABLE, target.toKey());
		boolean mayBeWritten = false;
		for (int round = 0; round < MAX_ROUNDS; round++) {
			TableService.ReadResult result = this.writer.read(key);
			if (result instanceof TableService.ReadFailed failed) {
				return StoreUnavailable.nothingWritten(failed.reason()).withPossibleWrite(mayBeWritten);
			}
			Optional<Row> row = (result instanceof TableService.Found found) ? Optional.of(found.row())
					: Optional.empty();
			Optional<PlannedStop> current = row
				.flatMap((existing) -> StateJson.read(existing.value(), PlannedStop.class));
			if (row.isPresent() && current.isEmpty()) {
				return StoreUnavailable.nothingWritten("malformed row of planned stop " + target.toKey());
			}
			Optional<PlannedStop> next = update.apply(current);
			if (next.equals(current)) {
				return toResult(next);
			}
			String json = StateJson.write(next.orElseThrow());
			ConditionalWriter.Outcome outcome = this.writer
				.write(row.map((existing) -> RowWrite.replace(existing, json))
					.orElseGet(() -> RowWrite.create(key, json)));
			if (outcome instanceof ConditionalWriter.Applied) {
				return toResult(next);
			}
			if (outcome instanceof ConditionalWriter.NotApplied failed) {
				return StoreUnavailable.nothingWritten(failed.reason()).withPossibleWrite(mayBeWritten);
			}
			if (outcome instanceof ConditionalWriter.Unresolved failed) {
				return StoreUnavailable.outcomeUnknown(failed.reason());
			}
			mayBeWritten |= StoreUnavailable.mayBeWritten(outcome);
		}
		return StoreUnavailable.nothingWritten("too many concurrent changes of planned stop " + target.toKey())
			.withPossibleWrite(mayBeWritten);
	}

	private static StopResult toResult(Optional<PlannedStop> stop) {
		return (stop.isPresent()) ? new StoredStop(stop.get()) : new NoStop();
	}

	/** Result of an operation on one stop. */
	public sealed interface StopResult permits StoredStop, NoStop, StoreUnavailable {

	}

	/**
	 * The stop as it is stored after the operation.
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
	 * @param stops the stops in the order of their row keys, not null
	 */
	public record Listed(List<PlannedStop> stops) implements ListResult {

		/** Copies the list. */
		public Listed {
			stops = List.copyOf(stops);
		}

	}

}
