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
 * Writes rows conditionally and finds out by reading back whether a write without an
 * answer took effect. Every try of one write carries the same attempt id and the same
 * expected version, so that it takes effect at most once. Each operation makes at most
 * {@link RetryPolicy#maxTries()} writes and as many reads, each bounded by the timeout of
 * the table service; a slow service delays the caller by their sum plus the pauses of the
 * policy. Thread-safe.
 */
public final class ConditionalWriter {

	/** Table service. */
	private final TableService table;

	/** Source of attempt ids. */
	private final Supplier<AttemptId> attempts;

	/** Bound of the retries. */
	private final RetryPolicy retries;

	private ConditionalWriter(TableService table, Supplier<AttemptId> attempts, RetryPolicy retries) {
		this.table = Objects.requireNonNull(table, "table");
		this.attempts = Objects.requireNonNull(attempts, "attempts");
		this.retries = Objects.requireNonNull(retries, "retries");
	}

	/**
	 * Returns a writer.
	 * @param table the table service, not null
	 * @param attempts the source of unique attempt ids, not null
	 * @param retries the bound of the retries, not null
	 * @return the writer, never null
	 */
	public static ConditionalWriter create(TableService table, Supplier<AttemptId> attempts, RetryPolicy retries) {
		return new ConditionalWriter(table, attempts, retries);
	}

	/**
	 * Returns a new attempt id.
	 * @return the id, never null
	 */
	public AttemptId nextAttemptId() {
		return this.attempts.get();
	}

	/**
	 * Reads a row, with retries.
	 * @param key the row, not null
	 * @return the row, its absence, or a failure when no try was answered
	 */
	public TableService.ReadResult read(RowKey key) {
		TableService.ReadResult result = this.table.read(key);
		for (int retry = 1; retry < this.retries.maxTries() && isFailed(result); retry++) {
			this.retries.beforeRetry(retry);
			result = this.table.read(key);
		}
		return result;
	}

	/**
	 * Reads the rows of a table, with retries.
	 * @param tableName the table, not null
	 * @param keyPrefix the prefix of the keys, not null, may be empty
	 * @return the rows, or a failure when no try was answered
	 */
	public TableService.ScanResult scan(String tableName, String keyPrefix) {
		TableService.ScanResult result = this.table.scan(tableName, keyPrefix);
		for (int retry = 1; retry < this.retries.maxTries() && result instanceof TableService.ReadFailed; retry++) {
			this.retries.beforeRetry(retry);
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
	 * Writes a row.
	 * @param attempt the id of this write, not null, never used for another one
	 * @param write the write, not null
	 * @return the outcome
	 */
	public Outcome write(AttemptId attempt, RowWrite write) {
		return run(attempt, List.of(write), false);
	}

	/**
	 * Writes several rows in one transaction under a new attempt id. The first row is
	 * read back to find out what became of a write without an answer.
	 * @param writes the writes, not null, not empty
	 * @return the outcome, with the first row if it applied
	 */
	public Outcome writeAll(List<RowWrite> writes) {
		return run(nextAttemptId(), List.copyOf(writes), false);
	}

	/**
	 * Tries again to find out what became of a write, and repeats it if it has not taken
	 * effect.
	 * @param unresolved the earlier outcome, not null
	 * @return the outcome
	 */
	public Outcome resolve(Unresolved unresolved) {
		return run(unresolved.attempt(), unresolved.writes(), true);
	}

	private Outcome run(AttemptId attempt, List<RowWrite> writes, boolean mayBeWritten) {
		RowWrite write = writes.get(0);
		boolean isUnknown = mayBeWritten;
		String reason = "";
		for (int turn = 0; turn < this.retries.maxTries(); turn++) {
			if (turn > 0) {
				this.retries.beforeRetry(turn);
			}
			Optional<Outcome> decided = (isUnknown) ? readBack(attempt, write) : Optional.empty();
			if (decided.isPresent()) {
				return decided.get();
			}
			TableService.WriteResult result = this.table.write(attempt, writes);
			if (result instanceof TableService.Written written) {
				return new Applied(written.rows().stream().findFirst());
			}
			if (result instanceof TableService.Conflict) {
				return afterConflict(attempt, writes, isUnknown);
			}
			if (result instanceof TableService.NotWritten notWritten) {
				reason = notWritten.reason();
			}
			else if (result instanceof TableService.WriteUnknown unknown) {
				reason = unknown.reason();
				isUnknown = true;
			}
		}
		Optional<Outcome> decided = (isUnknown) ? readBack(attempt, write) : Optional.empty();
		Outcome undecided = (isUnknown) ? new Unresolved(attempt, writes, reason) : new NotApplied(reason);
		return decided.orElse(undecided);
	}

	// After a try without an answer the conflict may come from that try itself.
	private Outcome afterConflict(AttemptId attempt, List<RowWrite> writes, boolean isUnknown) {
		if (!isUnknown) {
			return new VersionConflict(false);
		}
		return readBack(attempt, writes.get(0)).orElse(new Unresolved(attempt, writes, "conflict could not be read"));
	}

	private Optional<Outcome> readBack(AttemptId attempt, RowWrite write) {
		TableService.ReadResult result = this.table.read(write.key());
		if (result instanceof TableService.Found found) {
			return judge(attempt, write, found.row());
		}
		if (result instanceof TableService.Absent && write.expectedVersion() != RowWrite.ABSENT) {
			return Optional.of((write.value().isEmpty()) ? new Applied(Optional.empty()) : new VersionConflict(true));
		}
		return Optional.empty();
	}

	private Optional<Outcome> judge(AttemptId attempt, RowWrite write, Row row) {
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
	 * The row has another version than expected, so that the write can no longer take
	 * effect.
	 *
	 * @param mayHaveApplied whether it may have taken effect before the row was changed
	 * again; the content of the row tells
	 */
	public record VersionConflict(boolean mayHaveApplied) implements Outcome {

	}

	/**
	 * Nothing was written and nothing will be.
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
