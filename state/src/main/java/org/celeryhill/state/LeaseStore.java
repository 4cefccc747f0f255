package org.celeryhill.state;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.FencingToken;
import org.celeryhill.base.HostId;
import org.celeryhill.base.TimerService;
import org.celeryhill.port.Row;
import org.celeryhill.port.RowKey;
import org.celeryhill.port.RowWrite;
import org.celeryhill.port.TableService;

/**
 * Leases in the table {@code lease}. Each grant has a higher fencing token than all
 * earlier ones. At most one process at a time sees its lease as usable as long as the
 * clocks of two hosts run at rates within a factor of 1.5 of each other; a process that
 * is paused after it has checked its lease may act later, so that nothing may depend on
 * the lease alone. Every operation blocks for the bounded tries of the
 * {@link ConditionalWriter} and never throws for a failure of the store. Thread-safe.
 */
public final class LeaseStore {

	/** Table of the leases. */
	public static final String TABLE = "lease";

	/** Turns of read and write in one operation when other writers interfere. */
	private static final int MAX_TURNS = 4;

	/** Writer of the rows. */
	private final ConditionalWriter writer;

	/** Time of this observer. */
	private final TimerService timer;

	/** Host of this process. */
	private final HostId host;

	/** Id of this process. */
	private final AttemptId session;

	/** Duration of granted leases. */
	private final Duration duration;

	/** Whether at most one process runs on this host at a time. */
	private final boolean isSoleProcess;

	/** What this process has seen of other holders. */
	private final Map<LeaseName, LeaseObservation> observations = new ConcurrentHashMap<>();

	private LeaseStore(ConditionalWriter writer, TimerService timer, HostId host, Duration duration,
			boolean isSoleProcess) {
		this.writer = Objects.requireNonNull(writer, "writer");
		this.timer = Objects.requireNonNull(timer, "timer");
		this.host = Objects.requireNonNull(host, "host");
		this.duration = Objects.requireNonNull(duration, "duration");
		this.session = writer.nextAttemptId();
		this.isSoleProcess = isSoleProcess;
	}

	/**
	 * Returns the store of one process.
	 * @param writer the writer of the rows, not null
	 * @param timer the time, not null
	 * @param host the host of this process, not null
	 * @param duration the duration of leases that are granted to this process, not null,
	 * at least a millisecond
	 * @return the store, never null
	 */
	public static LeaseStore create(ConditionalWriter writer, TimerService timer, HostId host, Duration duration) {
		return new LeaseStore(writer, timer, host, duration, false);
	}

	/**
	 * Returns the store of one process on a host that never runs two of them at a time. A
	 * lease of an earlier process of the host is acquired at once, as that process has
	 * ended.
	 * @param writer the writer of the rows, not null
	 * @param timer the time, not null
	 * @param host the host of this process, not null
	 * @param duration the duration of leases that are granted to this process, not null,
	 * at least a millisecond
	 * @return the store, never null
	 */
	public static LeaseStore createForSoleProcess(ConditionalWriter writer, TimerService timer, HostId host,
			Duration duration) {
		return new LeaseStore(writer, timer, host, duration, true);
	}

	/**
	 * Acquires a lease, or renews it if this process holds it. An observer has to call
	 * this repeatedly, since it judges expiry from what it saw in earlier calls. With the
	 * store absent it returns {@link StoreUnavailable}; a grant that takes effect late is
	 * found and renewed by the next call.
	 * @param name the lease, not null
	 * @return the result
	 */
	public AcquireResult acquire(LeaseName name) {
		return change(name, (row) -> {
			Optional<LeaseRecord> current = row.flatMap(LeaseStore::parse);
			if (row.isPresent() && current.isEmpty()) {
				return Proposal.end(StoreUnavailable.unchanged("malformed row of lease " + name));
			}
			Optional<HeldBy> other = current.flatMap((record) -> observe(name, record));
			return other.isPresent() ? Proposal.end(other.get()) : Proposal.write(next(current));
		}, (granted) -> granted, (failure) -> failure);
	}

	/**
	 * Renews a lease. With the store absent it returns {@link StoreUnavailable} and the
	 * lease stays usable until {@link Lease#usableUntilNanos()}.
	 * @param lease the lease, not null
	 * @return the result
	 */
	public RenewResult renew(Lease lease) {
		return change(lease.name(),
				(row) -> held(row, lease).map((record) -> Proposal.<RenewResult>write(record.withRenewal()))
					.orElseGet(() -> Proposal.end(new Lost(lease))),
				(granted) -> granted, (failure) -> failure);
	}

	/**
	 * Gives a lease back, so that another process can acquire it at once. The caller must
	 * have stopped using it. With the store absent the lease expires by itself.
	 * @param lease the lease, not null
	 * @return the result
	 */
	public ReleaseResult release(Lease lease) {
		Released released = new Released(lease.name());
		return change(lease.name(),
				(row) -> held(row, lease).map((record) -> Proposal.<ReleaseResult>write(record.withRelease()))
					.orElseGet(() -> Proposal.end(released)),
				(granted) -> released, (failure) -> failure);
	}

	// Reads the row and writes what the rule makes of it, again when another writer comes
	// between.
	private <R> R change(LeaseName name, Function<Optional<Row>, Proposal<R>> rule, Function<Granted, R> done,
			Function<StoreUnavailable, R> failed) {
		boolean mayBeWritten = false;
		for (int turn = 0; turn < MAX_TURNS; turn++) {
			TableService.ReadResult result = this.writer.read(key(name));
			if (result instanceof TableService.ReadFailed failure) {
				return failed.apply(StoreUnavailable.unchanged(failure.reason()).after(mayBeWritten));
			}
			Optional<Row> row = row(result);
			Proposal<R> proposal = rule.apply(row);
			if (proposal.end().isPresent()) {
				return proposal.end().get();
			}
			Attempt attempt = write(name, row, proposal.record().orElseThrow());
			if (attempt.granted().isPresent()) {
				return done.apply(attempt.granted().get());
			}
			if (attempt.failure().isPresent()) {
				return failed.apply(attempt.failure().get().after(mayBeWritten));
			}
			mayBeWritten |= attempt.mayBeWritten();
		}
		return failed
			.apply(StoreUnavailable.unchanged("other writers interfere with lease " + name).after(mayBeWritten));
	}

	/**
	 * Takes what the holder itself says of a lease, as if it had been read from the
	 * store. An observer that hears from the holder so knows when the lease runs out
	 * without asking the store.
	 * @param name the lease, not null
	 * @param record the row as the holder wrote it last, not null
	 */
	public void observeFromHolder(LeaseName name, LeaseRecord record) {
		observe(name, record);
	}

	private Optional<HeldBy> observe(LeaseName name, LeaseRecord record) {
		if (record.isHeldBy(this.session) || (this.isSoleProcess && record.holder().equals(this.host))) {
			return Optional.empty();
		}
		long now = this.timer.nanoTime();
		LeaseObservation observation = this.observations.compute(name, (key, old) -> {
			LeaseObservation first = new LeaseObservation(record, now);
			return (old != null) ? old.update(record, now) : first;
		});
		if (observation.isExpired(now)) {
			return Optional.empty();
		}
		return Optional.of(new HeldBy(record.holder(), this.timer.instant().plus(observation.remainingTime(now))));
	}

	private LeaseRecord next(Optional<LeaseRecord> current) {
		if (current.isPresent() && current.get().isHeldBy(this.session)) {
			return current.get().withRenewal();
		}
		FencingToken last = current.map(LeaseRecord::token).orElse(FencingToken.ZERO);
		return LeaseRecord.createGrant(this.host, this.session, last.next(), this.duration);
	}

	private Attempt write(LeaseName name, Optional<Row> row, LeaseRecord record) {
		long start = this.timer.nanoTime();
		String json = StateJson.write(record);
		RowWrite write = row.map((found) -> RowWrite.replace(found, json))
			.orElseGet(() -> RowWrite.create(key(name), json));
		ConditionalWriter.Outcome outcome = this.writer.write(write);
		if (outcome instanceof ConditionalWriter.Applied) {
			Lease lease = new Lease(name, record.holder(), record.session(), record.token(), record.duration(), start);
			Optional<LeaseRecord> previous = row.flatMap((found) -> StateJson.read(found.value(), LeaseRecord.class));
			return new Attempt(Optional.of(new Granted(lease, record, previous)), Optional.empty(), false);
		}
		if (outcome instanceof ConditionalWriter.NotApplied failed) {
			return new Attempt(Optional.empty(), Optional.of(StoreUnavailable.unchanged(failed.reason())), false);
		}
		if (outcome instanceof ConditionalWriter.Unresolved failed) {
			return new Attempt(Optional.empty(), Optional.of(StoreUnavailable.unknown(failed.reason())), true);
		}
		return new Attempt(Optional.empty(), Optional.empty(), StoreUnavailable.mayBeWritten(outcome));
	}

	private static Optional<LeaseRecord> held(Optional<Row> row, Lease lease) {
		return row.flatMap(LeaseStore::parse)
			.filter((record) -> record.isHeldBy(lease.session()) && record.token().equals(lease.token()));
	}

	private static Optional<LeaseRecord> parse(Row row) {
		return LeaseRecord.parse(row.value());
	}

	private static Optional<Row> row(TableService.ReadResult result) {
		return (result instanceof TableService.Found found) ? Optional.of(found.row()) : Optional.empty();
	}

	private static RowKey key(LeaseName name) {
		return RowKey.of(TABLE, name.value());
	}

	/** Result of {@link LeaseStore#acquire}. */
	public sealed interface AcquireResult permits Granted, HeldBy, StoreUnavailable {

	}

	/** Result of {@link LeaseStore#renew}. */
	public sealed interface RenewResult permits Granted, Lost, StoreUnavailable {

	}

	/** Result of {@link LeaseStore#release}. */
	public sealed interface ReleaseResult permits Released, StoreUnavailable {

	}

	/**
	 * This process holds the lease.
	 *
	 * @param lease the lease, not null
	 * @param written the row as it was written, not null
	 * @param previous the row before, empty if there was none
	 */
	public record Granted(Lease lease, LeaseRecord written,
			Optional<LeaseRecord> previous) implements AcquireResult, RenewResult {

	}

	/**
	 * Another process holds the lease.
	 *
	 * @param holder its host, not null
	 * @param expiresAt when the lease expires if it is not renewed, by the wall clock of this
	 * host, for display only, not null
	 */
	public record HeldBy(HostId holder, Instant expiresAt) implements AcquireResult {

	}

	/**
	 * Another process has acquired the lease, or it was given back.
	 *
	 * @param lease the lease that this process held, not null
	 */
	public record Lost(Lease lease) implements RenewResult {

	}

	/**
	 * This process no longer holds the lease.
	 *
	 * @param name the lease, not null
	 */
	public record Released(LeaseName name) implements ReleaseResult {

	}

	/** What to do with a row: end with a result, or write a record. */
	private record Proposal<R>(Optional<R> end, Optional<LeaseRecord> record) {

		static <R> Proposal<R> end(R result) {
			return new Proposal<>(Optional.of(result), Optional.empty());
		}

		static <R> Proposal<R> write(LeaseRecord record) {
			return new Proposal<>(Optional.empty(), Optional.of(record));
		}

	}

	/** Result of one write: a lease, a failure, or neither if the row has changed. */
	private record Attempt(Optional<Granted> granted, Optional<StoreUnavailable> failure, boolean mayBeWritten) {

	}

}
