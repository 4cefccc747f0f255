package org.celeryhill.state;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.TimerService;
import org.celeryhill.port.Row;
import org.celeryhill.port.RowKey;
import org.celeryhill.port.RowWrite;
import org.celeryhill.port.TableService;

/**
 * Store of the claims on idempotency keys, in the table {@code claim}. A call may be sent
 * only after {@link Acquired}, once, by the caller that got this result. Every operation
 * blocks while the {@link ConditionalWriter} makes its bounded tries, and does not throw
 * an exception if the store fails. Thread-safe.
 */
public final class ClaimStore {

	/** Name of the table. */
	public static final String TABLE = "claim";

	/**
	 * Maximum number of read and write rounds of an operation when other writers change
	 * the row.
	 */
	private static final int MAX_ROUNDS = 4;

	/**
	 * Maximum number of running claims of others whose first observation is kept; the
	 * oldest observations are dropped first.
	 */
	private static final int MAX_OBSERVED_CLAIMS = 10_000;

	/**
	 * Number of latest attempts that are kept, more than one process sends while any of
	 * them may repeat its claim.
	 */
	private static final int MAX_USED_ATTEMPTS = 100_000;

	/** Writer of the rows. */
	private final ConditionalWriter writer;

	/** Monotonic clock of this process. */
	private final TimerService timer;

	/** Timeout and retention of claims. */
	private final ClaimPolicy policy;

	/** Counter that measures the age of claims. */
	private final ClaimEpoch epoch;

	/**
	 * Attempts that have acquired or abandoned their claim and must not acquire it again.
	 */
	private final Set<AttemptId> usedAttempts = Collections
		.synchronizedSet(Collections.newSetFromMap(new LinkedHashMap<>() {
			@Override
			protected boolean removeEldestEntry(Map.Entry<AttemptId, Boolean> eldest) {
				return size() > MAX_USED_ATTEMPTS;
			}
		}));

	/**
	 * Monotonic time at which a running claim of another process was first seen, by
	 * attempt. Guarded by itself.
	 */
	private final Map<AttemptId, Long> firstSeenNanos = new LinkedHashMap<>();

	private ClaimStore(ConditionalWriter writer, TimerService timer, ClaimPolicy policy) {
		this.writer = Objects.requireNonNull(writer, "writer");
		this.timer = Objects.requireNonNull(timer, "timer");
		this.policy = Objects.requireNonNull(policy, "policy");
		this.epoch = new ClaimEpoch(writer, timer, policy);
	}

	/**
	 * Returns the store for one process.
	 * @param writer the writer of the rows, not null
	 * @param timer the monotonic clock of the process, not null
	 * @param policy the timeout and retention of claims, not null
	 * @return the store, never null
	 */
	public static ClaimStore create(ConditionalWriter writer, TimerService timer, ClaimPolicy policy) {
		return new ClaimStore(writer, timer, policy);
	}

	/**
	 * Claims an idempotency key, or returns the state of an earlier claim on it. A caller
	 * that gets {@link Running} repeats the request until its own deadline. If the store
	 * is unavailable, the method returns {@link StoreUnavailable} and the call must not
	 * be sent; if the outcome is unknown, the caller may repeat the request with the same
	 * attempt, or give up with {@link #abandon}.
	 * @param organisation the organisation, not null
	 * @param key the idempotency key, not null
	 * @param attempt the attempt that is to send the call, unique for each request that a
	 * daemon receives, not null
	 * @param requestDigest the digest of the request, not null
	 * @param system the serving system that the traffic split chooses now, not null; a
	 * system that is already recorded for the key takes precedence
	 * @return the result
	 */
	public ClaimResult claim(OrganisationId organisation, String key, AttemptId attempt, String requestDigest,
			ServingSystem system) {
		Optional<Long> currentEpoch = this.epoch.current();
		if (currentEpoch.isEmpty()) {
			return StoreUnavailable.nothingWritten("claim epoch cannot be read");
		}
		Claim newClaim = Claim.running(attempt, requestDigest, system, currentEpoch.get());
		RowKey row = rowKey(organisation, key);
		boolean mayBeWritten = false;
		boolean isUsed = this.usedAttempts.contains(attempt);
		for (int round = 0; round < MAX_ROUNDS; round++) {
			RowSnapshot snapshot = load(row);
			if (snapshot.failure().isPresent()) {
				return snapshot.failure().get().withPossibleWrite(mayBeWritten);
			}
			Optional<ClaimResult> existing = snapshot.claim()
				.flatMap((claim) -> evaluateExisting(row, claim, newClaim));
			if (existing.isPresent()) {
				return existing.get();
			}
			if (isUsed) {
				return StoreUnavailable.nothingWritten("the attempt has ended");
			}
			Claim next = snapshot.claim().map((claim) -> claim.reclaim(attempt, newClaim.epoch())).orElse(newClaim);
			ConditionalWriter.Outcome outcome = write(row, snapshot, next);
			if (outcome instanceof ConditionalWriter.Applied) {
				return acquire(row, next);
			}
			Optional<StoreUnavailable> failure = toFailure(outcome);
			if (failure.isPresent()) {
				return failure.get().withPossibleWrite(mayBeWritten);
			}
			mayBeWritten |= StoreUnavailable.mayBeWritten(outcome);
		}
		return StoreUnavailable.nothingWritten("too many concurrent changes of the claim")
			.withPossibleWrite(mayBeWritten);
	}

	/**
	 * Stores the response to a call. If the store is unavailable, the method returns
	 * {@link StoreUnavailable}; the caller of the API gets its response all the same, and
	 * the daemon repeats the operation later.
	 * @param acquired the acquired claim, not null
	 * @param outcome the response to the call, not null
	 * @return the result
	 */
	public CompleteResult complete(Acquired acquired, StoredOutcome outcome) {
		Objects.requireNonNull(outcome, "outcome");
		return endClaim(acquired, (claim) -> claim.asFinished(outcome));
	}

	/**
	 * Stores that the call may have been executed and that its response is lost. If the
	 * store is unavailable, other callers get an unknown outcome after the timeout of the
	 * claim anyway.
	 * @param acquired the acquired claim, not null
	 * @return the result
	 */
	public CompleteResult completeWithUnknownOutcome(Acquired acquired) {
		return endClaim(acquired, Claim::asUnknown);
	}

	/**
	 * Withdraws a claim for a call of which no byte was sent, so that the key can be
	 * claimed again. If the store is unavailable, other callers get an unknown outcome
	 * after the timeout of the claim.
	 * @param acquired the acquired claim, not null
	 * @return the result
	 */
	public CompleteResult withdraw(Acquired acquired) {
		return endClaim(acquired, Claim::asWithdrawn);
	}

	/**
	 * Abandons a claim whose write has an unknown outcome, and changes the row so that
	 * the write can no longer take effect if it arrives late. The attempt can never
	 * acquire the claim afterwards. If the store is unavailable, the caller repeats the
	 * operation later.
	 * @param organisation the organisation, not null
	 * @param key the idempotency key, not null
	 * @param attempt the attempt that wrote the claim, not null
	 * @param requestDigest the digest of the request, not null
	 * @param system the serving system that was passed to {@link #claim}, not null
	 * @return the result
	 */
	public CompleteResult abandon(OrganisationId organisation, String key, AttemptId attempt, String requestDigest,
			ServingSystem system) {
		this.usedAttempts.add(attempt);
		RowKey row = rowKey(organisation, key);
		Claim withdrawnClaim = Claim.running(attempt, requestDigest, system, this.epoch.current().orElse(0L))
			.asWithdrawn();
		boolean mayBeWritten = false;
		for (int round = 0; round < MAX_ROUNDS; round++) {
			RowSnapshot snapshot = load(row);
			if (snapshot.failure().isPresent()) {
				return snapshot.failure().get().withPossibleWrite(mayBeWritten);
			}
			if (snapshot.claim().isPresent() && !snapshot.claim().get().isRunningBy(attempt)) {
				return new Stored();
			}
			Claim next = snapshot.claim().map(Claim::asWithdrawn).orElse(withdrawnClaim);
			ConditionalWriter.Outcome outcome = write(row, snapshot, next);
			Optional<StoreUnavailable> failure = toFailure(outcome);
			if (failure.isPresent()) {
				return failure.get().withPossibleWrite(mayBeWritten);
			}
			mayBeWritten |= StoreUnavailable.mayBeWritten(outcome);
			if (outcome instanceof ConditionalWriter.Applied) {
				return new Stored();
			}
		}
		return StoreUnavailable.nothingWritten("too many concurrent changes of the claim")
			.withPossibleWrite(mayBeWritten);
	}

	/**
	 * Increments the claim epoch if it is due and, after an increment, deletes the claims
	 * that are too old. Each process has to call this every few minutes; most calls read
	 * only one row. If the store is unavailable, nothing is deleted.
	 * @return the number of deleted claims, or the failure
	 */
	public CollectResult collectExpired() {
		Optional<Long> newEpoch = this.epoch.incrementIfDue();
		if (newEpoch.isEmpty()) {
			return new Collected(0);
		}
		TableService.ScanResult result = this.writer.scan(TABLE, "");
		if (result instanceof TableService.ReadFailed failed) {
			return StoreUnavailable.nothingWritten(failed.reason());
		}
		long lastExpiredEpoch = newEpoch.get() - this.policy.retainedEpochs();
		int deleted = 0;
		for (Row row : ((TableService.Rows) result).rows()) {
			Optional<Claim> claim = StateJson.read(row.value(), Claim.class);
			boolean isExpired = claim.isPresent() && claim.get().epoch() <= lastExpiredEpoch;
			if (isExpired && this.writer.write(RowWrite.delete(row)) instanceof ConditionalWriter.Applied) {
				deleted++;
			}
		}
		return new Collected(deleted);
	}

	private Optional<ClaimResult> evaluateExisting(RowKey row, Claim claim, Claim newClaim) {
		if (!claim.requestDigest().equals(newClaim.requestDigest())) {
			return Optional.of(new KeyReused());
		}
		return switch (claim.state()) {
			case FINISHED -> Optional.of(new Finished(claim.system(), claim.outcome()));
			case UNKNOWN -> Optional.of(new OutcomeUnknown(claim.system()));
			case WITHDRAWN -> Optional.empty();
			case RUNNING -> Optional.of((claim.isRunningBy(newClaim.attempt())) ? acquire(row, claim)
					: observe(claim, this.timer.nanoTime()));
		};
	}

	private ClaimResult acquire(RowKey row, Claim claim) {
		if (!this.usedAttempts.add(claim.attempt())) {
			return new Running(claim.system());
		}
		return new Acquired(row, claim, this.timer.nanoTime() + this.policy.timeout().toNanos());
	}

	private ClaimResult observe(Claim claim, long nowNanos) {
		long firstNanos;
		synchronized (this.firstSeenNanos) {
			firstNanos = this.firstSeenNanos.computeIfAbsent(claim.attempt(), (attempt) -> nowNanos);
			if (this.firstSeenNanos.size() > MAX_OBSERVED_CLAIMS) {
				this.firstSeenNanos.remove(this.firstSeenNanos.keySet().iterator().next());
			}
		}
		boolean isTimedOut = nowNanos - firstNanos >= this.policy.timeout().toNanos();
		return (isTimedOut) ? new OutcomeUnknown(claim.system()) : new Running(claim.system());
	}

	private CompleteResult endClaim(Acquired acquired, UnaryOperator<Claim> change) {
		Claim next = change.apply(acquired.claim());
		boolean mayBeWritten = false;
		for (int round = 0; round < MAX_ROUNDS; round++) {
			RowSnapshot snapshot = load(acquired.row());
			if (snapshot.failure().isPresent()) {
				return snapshot.failure().get().withPossibleWrite(mayBeWritten);
			}
			if (snapshot.claim().isEmpty() || !snapshot.claim().get().isRunningBy(acquired.claim().attempt())) {
				return (snapshot.claim().equals(Optional.of(next))) ? new Stored() : new Superseded();
			}
			ConditionalWriter.Outcome outcome = write(acquired.row(), snapshot, next);
			Optional<StoreUnavailable> failure = toFailure(outcome);
			if (failure.isPresent()) {
				return failure.get().withPossibleWrite(mayBeWritten);
			}
			mayBeWritten |= StoreUnavailable.mayBeWritten(outcome);
			if (outcome instanceof ConditionalWriter.Applied) {
				return new Stored();
			}
		}
		return StoreUnavailable.nothingWritten("too many concurrent changes of the claim")
			.withPossibleWrite(mayBeWritten);
	}

	private RowSnapshot load(RowKey row) {
		TableService.ReadResult result = this.writer.read(row);
		if (result instanceof TableService.Absent) {
			return new RowSnapshot(Optional.empty(), Optional.empty(), Optional.empty());
		}
		if (result instanceof TableService.Found found) {
			Optional<Claim> claim = StateJson.read(found.row().value(), Claim.class);
			Optional<StoreUnavailable> malformed = (claim.isPresent()) ? Optional.empty()
					: Optional.of(StoreUnavailable.nothingWritten("malformed row of claim"));
			return new RowSnapshot(Optional.of(found.row()), claim, malformed);
		}
		String reason = ((TableService.ReadFailed) result).reason();
		return new RowSnapshot(Optional.empty(), Optional.empty(),
				Optional.of(StoreUnavailable.nothingWritten(reason)));
	}

	private ConditionalWriter.Outcome write(RowKey key, RowSnapshot snapshot, Claim next) {
		String json = StateJson.write(next);
		return this.writer.write(
				snapshot.row().map((row) -> RowWrite.replace(row, json)).orElseGet(() -> RowWrite.create(key, json)));
	}

	private static Optional<StoreUnavailable> toFailure(ConditionalWriter.Outcome outcome) {
		if (outcome instanceof ConditionalWriter.NotApplied failed) {
			return Optional.of(StoreUnavailable.nothingWritten(failed.reason()));
		}
		if (outcome instanceof ConditionalWriter.Unresolved failed) {
			return Optional.of(StoreUnavailable.outcomeUnknown(failed.reason()));
		}
		return Optional.empty();
	}

	/**
	 * Returns the row key of the claim on an idempotency key.
	 * @param organisation the organisation, not null
	 * @param key the idempotency key, not null
	 * @return the row key, never null
	 */
	public static RowKey rowKey(OrganisationId organisation, String key) {
		String prefix = URLEncoder.encode(organisation.value(), StandardCharsets.UTF_8);
		return RowKey.of(TABLE, prefix + "/" + Objects.requireNonNull(key, "key"));
	}

	/** Result of {@link ClaimStore#claim}. */
	public sealed interface ClaimResult
			permits Acquired, Running, Finished, OutcomeUnknown, KeyReused, StoreUnavailable {

	}

	/**
	 * The caller has acquired the claim and may send the call once, to the serving system
	 * of the claim.
	 *
	 * @param row the row key of the claim, not null
	 * @param claim the claim, not null
	 * @param sendDeadlineNanos the deadline for sending the call, on the monotonic clock
	 * of this process, in nanoseconds; a claim whose call was not sent by then has to be
	 * withdrawn, since other callers take its outcome as unknown from then on and the
	 * claim may be deleted later
	 */
	public record Acquired(RowKey row, Claim claim, long sendDeadlineNanos) implements ClaimResult {

		/**
		 * Returns whether the call may still be sent.
		 * @param nowNanos the monotonic time of this process, in nanoseconds
		 * @return true before the deadline
		 */
		public boolean canSend(long nowNanos) {
			return nowNanos - this.sendDeadlineNanos < 0;
		}

	}

	/**
	 * Another attempt has claimed the key and the call may be running.
	 *
	 * @param system the serving system that executes the call, not null
	 */
	public record Running(ServingSystem system) implements ClaimResult {

	}

	/**
	 * The call was executed and its response is known.
	 *
	 * @param system the serving system that executed the call, not null
	 * @param outcome the response to the call, not null
	 */
	public record Finished(ServingSystem system, StoredOutcome outcome) implements ClaimResult {

	}

	/**
	 * The call may have been executed, its response is not known, and it is not executed
	 * again.
	 *
	 * @param system the serving system that may have executed the call, not null
	 */
	public record OutcomeUnknown(ServingSystem system) implements ClaimResult {

	}

	/** The key was used before for a request with another digest. */
	public record KeyReused() implements ClaimResult {

	}

	/** Result of an operation that ends a claim. */
	public sealed interface CompleteResult permits Stored, Superseded, StoreUnavailable {

	}

	/** The new state of the claim is stored. */
	public record Stored() implements CompleteResult {

	}

	/**
	 * The row no longer contains the claim, for example because the claim was deleted as
	 * too old.
	 */
	public record Superseded() implements CompleteResult {

	}

	/** Result of {@link ClaimStore#collectExpired}. */
	public sealed interface CollectResult permits Collected, StoreUnavailable {

	}

	/**
	 * Claims that were too old have been deleted.
	 *
	 * @param count the number of deleted claims
	 */
	public record Collected(int count) implements CollectResult {

	}

	/**
	 * A row as read, or the reason why it could not be read.
	 *
	 * @param row the row, empty if it does not exist
	 * @param claim the claim, empty if the row does not exist or is malformed
	 * @param failure the failure of the read, empty if it succeeded
	 */
	private record RowSnapshot(Optional<Row> row, Optional<Claim> claim, Optional<StoreUnavailable> failure) {

	}

}
