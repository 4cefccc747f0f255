package org.celeryhill.state;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

import org.celeryhill.base.AttemptId;
import org.celeryhill.port.Row;
import org.celeryhill.port.RowKey;
import org.celeryhill.port.RowWrite;
import org.celeryhill.port.TableService;

/**
 * Writes rows on condition of their version and reads a row back to find out whether a
 * write that got no response took effect. All tries of a write carry the same attempt id
 * and the same expected version, so that the write takes effect at most once. An
 * operation makes at most {@link RetryPolicy#maxTries()} writes and as many reads, each
 * limited by the timeout of the table service; a slow service delays the caller by the
 * sum of these timeouts plus the delays of the retry policy. Thread-safe.
 */
public final class ConditionalWriter {

	/** Table service that stores the rows. */
	private final TableService table;

	/** Generator of attempt ids. */
	private final Supplier<AttemptId> attemptIds;

	/** Limits of the retries. */
	private final RetryPolicy retries;

	private ConditionalWriter(TableService table, Supplier<AttemptId> attemptIds, RetryPolicy retries) {
		this.table = Objects.requireNonNull(table, "table");
		this.attemptIds = Objects.requireNonNull(attemptIds, "attemptIds");
		this.retries = Objects.requireNonNull(retries, "retries");
	}

	/**
	 * Returns a writer.
	 * @param table the table service, not null
	 * @param attemptIds the generator of unique attempt ids, not null
	 * @param retries the limits of the retries, not null
	 * @return the writer, never null
	 */
	public static ConditionalWriter create(TableService table, Supplier<AttemptId> attemptIds, RetryPolicy retries) {
		return new ConditionalWriter(table, attemptIds, retries);
	}

	/**
	 * Returns a new attempt id.
	 * @return the id, never null
	 */
	public AttemptId nextAttemptId() {
		return this.attemptIds.get();
	}

	/**
	 * Reads a row, with retries.
	 * @param key the key of the row, not null
	 * @return the row, its absence, or a failure if no try got a response
	 */
	public TableService.ReadResult read(RowKey key) {
		TableService.ReadResult result = this.table.read(key);
		for (int retry = 1; retry < this.retries.maxTries() && isFailed(result); retry++) {
			this.retries.pauseBeforeRetry(retry);
			result = this.table.read(key);
		}
		return result;
	}

	/**
	 * Reads the rows of a table whose keys have a prefix, with retries.
	 * @param tableName the name of the table, not null
	 * @param keyPrefix the prefix of the keys, empty for all rows, not null
	 * @return the rows, or a failure if no try got a response
	 */
	public TableService.ScanResult scan(String tableName, String keyPrefix) {
		TableService.ScanResult result = this.table.scan(tableName, keyPrefix);
		for (int retry = 1; retry < this.retries.maxTries() && result instanceof TableService.ReadFailed; retry++) {
			this.retries.pauseBeforeRetry(retry);
			result = this.table.scan(tableName, keyPrefix);
		}
		return result;
	}

	/**
	 * Writes a row under a new attempt id.
	 * @param write the write, not null
	 * @return the outcome
	 */
	public Outcome write(RowWrite write) {
		return write(nextAttemptId(), write);
	}

	/**
	 * Writes a row under a given attempt id.
	 * @param attempt the id of this write, which must not be used for another write, not
	 * null
	 * @param write the write, not null
	 * @return the outcome
	 */
	public Outcome write(AttemptId attempt, RowWrite write) {
		return writeWithRetries(attempt, List.of(write), false);
	}

	/**
	 * Writes several rows in one transaction under a new attempt id. If the write gets no
	 * response, the first row is read back to determine its outcome.
	 * @param writes the writes, not null, not empty
	 * @return the outcome, with the first row if the write took effect
	 */
	public Outcome writeAll(List<RowWrite> writes) {
		return writeWithRetries(nextAttemptId(), List.copyOf(writes), false);
	}

	/**
	 * Tries again to determine the outcome of a write, and repeats the write if it has
	 * not taken effect.
	 * @param unresolved the outcome of the earlier call, not null
	 * @return the outcome
	 */
	public Outcome resolve(Unresolved unresolved) {
		return writeWithRetries(unresolved.attempt(), unresolved.writes(), true);
	}

	private Outcome writeWithRetries(AttemptId attempt, List<RowWrite> writes, boolean mayBeWritten) {
		RowWrite write = writes.get(0);
		boolean isOutcomeUnknown = mayBeWritten;
		String reason = "";
		for (int tryIndex = 0; tryIndex < this.retries.maxTries(); tryIndex++) {
			if (tryIndex > 0) {
				this.retries.pauseBeforeRetry(tryIndex);
			}
			Optional<Outcome> readBackOutcome = (isOutcomeUnknown) ? readBack(attempt, write) : Optional.empty();
			if (readBackOutcome.isPresent()) {
				return readBackOutcome.get();
			}
			TableService.WriteResult result = this.table.write(attempt, writes);
			if (result instanceof TableService.Written written) {
				return new Applied(written.rows().stream().findFirst());
			}
			if (result instanceof TableService.Conflict) {
				return resolveConflict(attempt, writes, isOutcomeUnknown);
			}
			if (result instanceof TableService.NotWritten notWritten) {
				reason = notWritten.reason();
			}
			else if (result instanceof TableService.WriteUnknown unknown) {
				reason = unknown.reason();
				isOutcomeUnknown = true;
			}
		}
		Optional<Outcome> readBackOutcome = (isOutcomeUnknown) ? readBack(attempt, write) : Optional.empty();
		Outcome lastOutcome = (isOutcomeUnknown) ? new Unresolved(attempt, writes, reason) : new NotApplied(reason);
		return readBackOutcome.orElse(lastOutcome);
	}

	// If an earlier try got no response, that try itself may have caused the conflict.
	private Outcome resolveConflict(AttemptId attempt, List<RowWrite> writes, boolean isOutcomeUnknown) {
		if (!isOutcomeUnknown) {
			return new VersionConflict(false);
		}
		return readBack(attempt, writes.get(0))
			.orElse(new Unresolved(attempt, writes, "row could not be read after a version conflict"));
	}

	private Optional<Outcome> readBack(AttemptId attempt, RowWrite write) {
		TableService.ReadResult result = this.table.read(write.key());
		if (result instanceof TableService.Found found) {
			return evaluateRow(attempt, write, found.row());
		}
		if (result instanceof TableService.Absent && write.expectedVersion() != RowWrite.ABSENT) {
			return Optional.of((write.value().isEmpty()) ? new Applied(Optional.empty()) : new VersionConflict(true));
		}
		return Optional.empty();
	}

	private Optional<Outcome> evaluateRow(AttemptId attempt, RowWrite write, Row row) {
		if (row.writer().equals(attempt)) {
			return Optional.of(new Applied(Optional.of(row)));
		}
		if (row.version() == write.expectedVersion()) {
			return Optional.empty();
		}
		boolean isNextVersion = row.version() == write.expectedVersion() + 1 && write.value().isPresent();
		return Optional.of(new VersionConflict(!isNextVersion));
	}

	private static boolean isFailed(TableService.ReadResult result) {
		return result instanceof TableService.ReadFailed;
	}

	/** Outcome of a conditional write. */
	public sealed interface Outcome permits Applied, VersionConflict, NotApplied, Unresolved {

	}

	/**
	 * The write took effect.
	 *
	 * @param row the row as written, empty for a deletion, not null
	 */
	public record Applied(Optional<Row> row) implements Outcome {

	}

	/**
	 * The row has another version than expected, so the write can no longer take effect.
	 *
	 * @param mayHaveApplied whether the write may have taken effect before the row was
	 * changed again; the caller can find out from the content of the row
	 */
	public record VersionConflict(boolean mayHaveApplied) implements Outcome {

	}

	/**
	 * The write did not take effect and never will.
	 *
	 * @param reason a short text for logs, not null
	 */
	public record NotApplied(String reason) implements Outcome {

	}

	/**
	 * The write may have taken effect or may still do so.
	 *
	 * @param attempt the id of the write, not null
	 * @param writes the writes of the transaction, not null
	 * @param reason a short text for logs, not null
	 */
	public record Unresolved(AttemptId attempt, List<RowWrite> writes, String reason) implements Outcome {

	}

}
