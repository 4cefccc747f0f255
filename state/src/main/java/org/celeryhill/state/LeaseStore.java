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
 * Store of the leases, in the table {@code lease}. Each grant of a lease has a higher
 * fencing token than all earlier grants. At most one process at a time sees its lease as
 * usable, provided that the clocks of two hosts run at rates within a factor of 1.5 of
 * each other. A process that is paused after it has checked its lease may still act on it
 * later, so no operation may rely on the lease alone. Every operation blocks while the
 * {@link ConditionalWriter} makes its bounded tries, and does not throw an exception if
 * the store fails. Thread-safe.
 */
public final class LeaseStore {

	/** Name of the table. */
	public static final String TABLE = "lease";

	/**
	 * Maximum number of read and write rounds of an operation when other writers change
	 * the row.
	 */
	private static final int MAX_ROUNDS = 4;

	/** Writer of the rows. */
	private final ConditionalWriter writer;

	/** Clocks of this process. */
	private final TimerService timer;

	/** Host of this process. */
	private final HostId host;

	/** Id of this process. */
	private final AttemptId session;

	/** Duration of leases granted to this process. */
	private final Duration duration;

	/** Whether at most one process runs on this host at a time. */
	private final boolean isSoleProcess;

	/** Leases held by other processes as last observed, by name. */
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
	 * Returns the store for one process.
	 * @param writer the writer of the rows, not null
	 * @param timer the clocks of this process, not null
	 * @param host the host of this process, not null
	 * @param duration the duration of leases granted to this process, at least a
	 * millisecond, not null
	 * @return the store, never null
	 */
	public static LeaseStore create(ConditionalWriter writer, TimerService timer, HostId host, Duration duration) {
		return new LeaseStore(writer, timer, host, duration, false);
	}

	/**
	 * Returns the store for one process on a host that never runs two such processes at a
	 * time. A lease that an earlier process of the host held is acquired without waiting
	 * for its expiry, since that process has ended.
	 * @param writer the writer of the rows, not null
	 * @param timer the clocks of this process, not null
	 * @param host the host of this process, not null
	 * @param duration the duration of leases granted to this process, at least a
	 * millisecond, not null
	 * @return the store, never null
	 */
	public static LeaseStore createForSoleProcess(ConditionalWriter writer, TimerService timer, HostId host,
			Duration duration) {
		return new LeaseStore(writer, timer, host, duration, true);
	}

	/**
	 * Acquires a lease, or renews it if this process holds it. A process that waits for a
	 * lease has to call this method repeatedly, since expiry is determined from what
	 * earlier calls observed. If the store is unavailable, the method returns
	 * {@link StoreUnavailable}; if a grant takes effect late, the next call finds and
	 * renews it.
	 * @param name the lease, not null
	 * @return the result
	 */
	public AcquireResult acquire(LeaseName name) {
		return updateRow(name, (row) -> {
			Optional<LeaseRecord> current = row.flatMap(LeaseStore::parse);
			if (row.isPresent() && current.isEmpty()) {
				return Proposal.ofResult(StoreUnavailable.nothingWritten("malformed row of lease " + name));
			}
			Optional<HeldBy> other = current.flatMap((record) -> observe(name, record));
			return other.isPresent() ? Proposal.ofResult(other.get()) : Proposal.ofRecord(nextRecord(current));
		}, (granted) -> granted, (failure) -> failure);
	}

	/**
	 * Renews a lease. If the store is unavailable, the method returns
	 * {@link StoreUnavailable} and the lease stays usable until
	 * {@link Lease#usableUntilNanos()}.
	 * @param lease the lease, not null
	 * @return the result
	 */
	public RenewResult renew(Lease lease) {
		return updateRow(lease.name(),
				(row) -> findHeld(row, lease).map((record) -> Proposal.<RenewResult>ofRecord(record.withRenewal()))
					.orElseGet(() -> Proposal.ofResult(new Lost(lease))),
				(granted) -> granted, (failure) -> failure);
	}

	/**
	 * Releases a lease, so that another process can acquire it without waiting for its
	 * expiry. The caller must have stopped using the lease. If the store is unavailable,
	 * the lease expires by itself.
	 * @param lease the lease, not null
	 * @return the result
	 */
	public ReleaseResult release(Lease lease) {
		Released released = new Released(lease.name());
		return updateRow(lease.name(),
				(row) -> findHeld(row, lease).map((record) -> Proposal.<ReleaseResult>ofRecord(record.withRelease()))
					.orElseGet(() -> Proposal.ofResult(released)),
				(granted) -> released, (failure) -> failure);
	}

	// Reads the row and applies the decision on it. Starts again if another writer
	// changed the row in between.
	private <R> R updateRow(LeaseName name, Function<Optional<Row>, Proposal<R>> decide, Function<Granted, R> done,
			Function<StoreUnavailable, R> failed) {
		boolean mayBeWritten = false;
		for (int round = 0; round < MAX_ROUNDS; round++) {
			TableService.ReadResult result = this.writer.read(key(name));
			if (result instanceof TableService.ReadFailed failure) {
				return failed.apply(StoreUnavailable.nothingWritten(failure.reason()).withPossibleWrite(mayBeWritten));
			}
			Optional<Row> row = row(result);
			Proposal<R> proposal = decide.apply(row);
			if (proposal.finalResult().isPresent()) {
				return proposal.finalResult().get();
			}
			WriteAttempt attempt = write(name, row, proposal.record().orElseThrow());
			if (attempt.granted().isPresent()) {
				return done.apply(attempt.granted().get());
			}
			if (attempt.failure().isPresent()) {
				return failed.apply(attempt.failure().get().withPossibleWrite(mayBeWritten));
			}
			mayBeWritten |= attempt.mayBeWritten();
		}
		return failed.apply(StoreUnavailable.nothingWritten("too many concurrent changes of lease " + name)
			.withPossibleWrite(mayBeWritten));
	}

	/**
	 * Observes a row of a lease that was received from its holder, as if it had been read
	 * from the store. This lets a process determine the expiry of the lease without a
	 * request to the store.
	 * @param name the lease, not null
	 * @param record the row as last written by the holder, not null
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
			LeaseObservation firstObservation = new LeaseObservation(record, now);
			return (old != null) ? old.update(record, now) : firstObservation;
		});
		if (observation.isExpired(now)) {
			return Optional.empty();
		}
		return Optional.of(new HeldBy(record.holder(), this.timer.instant().plus(observation.remainingTime(now))));
	}

	private LeaseRecord nextRecord(Optional<LeaseRecord> current) {
		if (current.isPresent() && current.get().isHeldBy(this.session)) {
			return current.get().withRenewal();
		}
		FencingToken last = current.map(LeaseRecord::token).orElse(FencingToken.ZERO);
		return LeaseRecord.createGrant(this.host, this.session, last.next(), this.duration);
	}

	private WriteAttempt write(LeaseName name, Optional<Row> row, LeaseRecord record) {
		long start = this.timer.nanoTime();
		String json = StateJson.write(record);
		RowWrite write = row.map((found) -> RowWrite.replace(found, json))
			.orElseGet(() -> RowWrite.create(key(name), json));
		ConditionalWriter.Outcome outcome = this.writer.write(write);
		if (outcome instanceof ConditionalWriter.Applied) {
			Lease lease = new Lease(name, record.holder(), record.session(), record.token(), record.duration(), start);
			Optional<LeaseRecord> previous = row.flatMap((found) -> StateJson.read(found.value(), LeaseRecord.class));
			return new WriteAttempt(Optional.of(new Granted(lease, record, previous)), Optional.empty(), false);
		}
		if (outcome instanceof ConditionalWriter.NotApplied failed) {
			return new WriteAttempt(Optional.empty(), Optional.of(StoreUnavailable.nothingWritten(failed.reason())),
					false);
		}
		if (outcome instanceof ConditionalWriter.Unresolved failed) {
			return new WriteAttempt(Optional.empty(), Optional.of(StoreUnavailable.outcomeUnknown(failed.reason())),
					true);
		}
		return new WriteAttempt(Optional.empty(), Optional.empty(), StoreUnavailable.mayBeWritten(outcome));
	}

	private static Optional<LeaseRecord> findHeld(Optional<Row> row, Lease lease) {
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
	 * @param written the row as written, not null
	 * @param previous the row before this write, empty if there was none
	 */
	public record Granted(Lease lease, LeaseRecord written,
			Optional<LeaseRecord> previous) implements AcquireResult, RenewResult {

	}

	/**
	 * Another process holds the lease.
	 *
	 * @param holder the host of that process, not null
	 * @param expiresAt when the lease expires if it is not renewed, by the wall clock of
	 * this host, for display only, not null
	 */
	public record HeldBy(HostId holder, Instant expiresAt) implements AcquireResult {

	}

	/**
	 * Another process has acquired the lease, or the lease was released.
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

	/** What to do after a row was read: return a result, or write a record. */
	private record Proposal<R>(Optional<R> finalResult, Optional<LeaseRecord> record) {

		static <R> Proposal<R> ofResult(R result) {
			return new Proposal<>(Optional.of(result), Optional.empty());
		}

		static <R> Proposal<R> ofRecord(LeaseRecord record) {
			return new Proposal<>(Optional.empty(), Optional.of(record));
		}

	}

	/** Result of one write: the grant, a failure, or neither if the row had changed. */
	private record WriteAttempt(Optional<Granted> granted, Optional<StoreUnavailable> failure, boolean mayBeWritten) {

	}

}
