package org.celeryhill.state;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.TimerService;
import org.celeryhill.port.Row;
import org.celeryhill.port.RowKey;
import org.celeryhill.port.RowWrite;
import org.celeryhill.port.TableService;

/**
 * Claims on idempotency keys in the table {@code claim}. A call may be sent only after
 * {@link Acquired}, once, by the caller that got it. Every operation blocks for the bounded
 * tries of the {@link ConditionalWriter} and never throws for a failure of the store.
 * Thread-safe.
 */
public final class ClaimStore {

	/** Table of the claims. */
	public static final String TABLE = "claim";

	/** Turns of read and write in one operation when other writers interfere. */
	private static final int MAX_TURNS = 4;

	/** Running claims of others that are remembered, the oldest are forgotten first. */
	private static final int MAX_OBSERVATIONS = 10_000;

	/** Writer of the rows. */
	private final ConditionalWriter writer;

	/** Time of this process. */
	private final TimerService timer;

	/** Times of claims. */
	private final ClaimPolicy policy;

	/** Counter of the age of claims. */
	private final ClaimEpoch epoch;

	/** Attempts that were given their claim or gave it up; they never win again. */
	private final Set<AttemptId> decided = ConcurrentHashMap.newKeySet();

	/** When running claims of others were first seen. Guarded by itself. */
	private final Map<AttemptId, Long> firstSeen = new LinkedHashMap<>();

	private ClaimStore(ConditionalWriter writer, TimerService timer, ClaimPolicy policy) {
		this.writer = Objects.requireNonNull(writer, "writer");
		this.timer = Objects.requireNonNull(timer, "timer");
		this.policy = Objects.requireNonNull(policy, "policy");
		this.epoch = new ClaimEpoch(writer, timer, policy);
	}

	/**
	 * Returns the store of one process.
	 * @param writer the writer of the rows, not null
	 * @param timer the time, not null
	 * @param policy the times of claims, not null
	 * @return the store, never null
	 */
	public static ClaimStore create(ConditionalWriter writer, TimerService timer, ClaimPolicy policy) {
		return new ClaimStore(writer, timer, policy);
	}

	/**
	 * Claims a key, or tells what became of an earlier claim. A caller that gets
	 * {@link Running} asks again until its own deadline. With the store absent it returns
	 * {@link StoreUnavailable} and the call must not be sent; if the outcome is unknown,
	 * the caller may ask again with the same attempt, or give up with {@link #abandon}.
	 * @param organisation the organisation, not null
	 * @param key the idempotency key, not null
	 * @param attempt the attempt that would send the call, unique for each request that a
	 * daemon receives, not null
	 * @param requestDigest the digest of the request, not null
	 * @param system the system that the traffic split chooses now, not null; a system
	 * that is already recorded for the key takes precedence
	 * @return the result
	 */
	public ClaimResult claim(OrganisationId organisation, String key, AttemptId attempt, String requestDigest,
			ServingSystem system) {
		Optional<Long> now = this.epoch.current();
		if (now.isEmpty()) {
			return StoreUnavailable.unchanged("claim epoch cannot be read");
		}
		Claim fresh = Claim.running(attempt, requestDigest, system, now.get());
		RowKey row = rowKey(organisation, key);
		boolean mayBeWritten = false;
		for (int turn = 0; turn < MAX_TURNS; turn++) {
			Loading loading = load(row);
			if (loading.failure().isPresent()) {
				return loading.failure().get().after(mayBeWritten);
			}
			Optional<ClaimResult> existing = loading.claim().flatMap((claim) -> judge(row, claim, fresh));
			if (existing.isPresent()) {
				return existing.get();
			}
			Claim next = loading.claim().map((claim) -> claim.reclaim(attempt, fresh.epoch())).orElse(fresh);
			ConditionalWriter.Outcome outcome = write(row, loading, next);
			if (outcome instanceof ConditionalWriter.Applied) {
				return win(row, next);
			}
			Optional<StoreUnavailable> failure = failure(outcome);
			if (failure.isPresent()) {
				return failure.get().after(mayBeWritten);
			}
			mayBeWritten |= StoreUnavailable.mayBeWritten(outcome);
		}
		return StoreUnavailable.unchanged("other writers interfere with the claim").after(mayBeWritten);
	}

	/**
	 * Stores the answer of a call. With the store absent it returns
	 * {@link StoreUnavailable}; the caller gets its answer all the same, and the daemon
	 * tries again later.
	 * @param won the claim, not null
	 * @param outcome the answer, not null
	 * @return the result
	 */
	public CompleteResult complete(Acquired won, StoredOutcome outcome) {
		Objects.requireNonNull(outcome, "outcome");
		return end(won, (claim) -> claim.asFinished(outcome));
	}

	/**
	 * Stores that the call may have run and its answer is lost. With the store absent the
	 * claim is answered as unknown after its timeout anyway.
	 * @param won the claim, not null
	 * @return the result
	 */
	public CompleteResult completeWithUnknownOutcome(Acquired won) {
		return end(won, Claim::asUnknown);
	}

	/**
	 * Gives a claim back of which no byte was sent, so that the key can be claimed again.
	 * With the store absent the claim is answered as unknown after its timeout.
	 * @param won the claim, not null
	 * @return the result
	 */
	public CompleteResult withdraw(Acquired won) {
		return end(won, Claim::asWithdrawn);
	}

	/**
	 * Gives up a claim whose writing has an unknown outcome, and fences a write that may
	 * still arrive. The attempt never wins afterwards. With the store absent the caller
	 * tries again later.
	 * @param organisation the organisation, not null
	 * @param key the idempotency key, not null
	 * @param attempt the attempt, not null
	 * @param requestDigest the digest of the request, not null
	 * @param system the system that was chosen, not null
	 * @return the result
	 */
	public CompleteResult abandon(OrganisationId organisation, String key, AttemptId attempt, String requestDigest,
			ServingSystem system) {
		this.decided.add(attempt);
		RowKey row = rowKey(organisation, key);
		Claim given = Claim.running(attempt, requestDigest, system, this.epoch.current().orElse(0L)).asWithdrawn();
		boolean mayBeWritten = false;
		for (int turn = 0; turn < MAX_TURNS; turn++) {
			Loading loading = load(row);
			if (loading.failure().isPresent()) {
				return loading.failure().get().after(mayBeWritten);
			}
			if (loading.claim().isPresent() && !loading.claim().get().isRunningBy(attempt)) {
				this.decided.remove(attempt);
				return new Stored();
			}
			Claim next = loading.claim().map(Claim::asWithdrawn).orElse(given);
			ConditionalWriter.Outcome outcome = write(row, loading, next);
			Optional<StoreUnavailable> failure = failure(outcome);
			if (failure.isPresent()) {
				return failure.get().after(mayBeWritten);
			}
			mayBeWritten |= StoreUnavailable.mayBeWritten(outcome);
			if (outcome instanceof ConditionalWriter.Applied) {
				this.decided.remove(attempt);
				return new Stored();
			}
		}
		return StoreUnavailable.unchanged("other writers interfere with the claim").after(mayBeWritten);
	}

	/**
	 * Raises the claim epoch if it is due and deletes the claims that are too old. To be
	 * called every few minutes by each process; most calls read one row. With the store
	 * absent nothing is deleted.
	 * @return the number of deleted claims
	 */
	public CollectResult collectExpired() {
		Optional<Long> raised = this.epoch.advance();
		if (raised.isEmpty()) {
			return new Collected(0);
		}
		TableService.ScanResult result = this.writer.scan(TABLE, "");
		if (result instanceof TableService.ReadFailed failed) {
			return StoreUnavailable.unchanged(failed.reason());
		}
		long oldest = raised.get() - this.policy.retainedEpochs();
		int deleted = 0;
		for (Row row : ((TableService.Rows) result).rows()) {
			Optional<Claim> claim = StateJson.read(row.value(), Claim.class);
			boolean isOld = claim.isPresent() && claim.get().epoch() <= oldest;
			if (isOld && this.writer.write(RowWrite.delete(row)) instanceof ConditionalWriter.Applied) {
				deleted++;
			}
		}
		return new Collected(deleted);
	}

	private Optional<ClaimResult> judge(RowKey row, Claim claim, Claim fresh) {
		if (!claim.requestDigest().equals(fresh.requestDigest())) {
			return Optional.of(new KeyReused());
		}
		return switch (claim.state()) {
			case FINISHED -> Optional.of(new Finished(claim.system(), claim.outcome()));
			case UNKNOWN -> Optional.of(new OutcomeUnknown(claim.system()));
			case WITHDRAWN -> Optional.empty();
			case RUNNING -> Optional
				.of((claim.isRunningBy(fresh.attempt())) ? win(row, claim) : observe(claim, this.timer.nanoTime()));
		};
	}

	private ClaimResult win(RowKey row, Claim claim) {
		if (!this.decided.add(claim.attempt())) {
			return new Running(claim.system());
		}
		return new Acquired(row, claim, this.timer.nanoTime() + this.policy.timeout().toNanos());
	}

	private ClaimResult observe(Claim claim, long nowNanos) {
		long first;
		synchronized (this.firstSeen) {
			first = this.firstSeen.computeIfAbsent(claim.attempt(), (attempt) -> nowNanos);
			if (this.firstSeen.size() > MAX_OBSERVATIONS) {
				this.firstSeen.remove(this.firstSeen.keySet().iterator().next());
			}
		}
		boolean isTimedOut = nowNanos - first >= this.policy.timeout().toNanos();
		return (isTimedOut) ? new OutcomeUnknown(claim.system()) : new Running(claim.system());
	}

	private CompleteResult end(Acquired won, UnaryOperator<Claim> change) {
		Claim next = change.apply(won.claim());
		boolean mayBeWritten = false;
		for (int turn = 0; turn < MAX_TURNS; turn++) {
			Loading loading = load(won.row());
			if (loading.failure().isPresent()) {
				return loading.failure().get().after(mayBeWritten);
			}
			if (loading.claim().isEmpty() || !loading.claim().get().isRunningBy(won.claim().attempt())) {
				this.decided.remove(won.claim().attempt());
				return (loading.claim().equals(Optional.of(next))) ? new Stored() : new Superseded();
			}
			ConditionalWriter.Outcome outcome = write(won.row(), loading, next);
			Optional<StoreUnavailable> failure = failure(outcome);
			if (failure.isPresent()) {
				return failure.get().after(mayBeWritten);
			}
			mayBeWritten |= StoreUnavailable.mayBeWritten(outcome);
			if (outcome instanceof ConditionalWriter.Applied) {
				this.decided.remove(won.claim().attempt());
				return new Stored();
			}
		}
		return StoreUnavailable.unchanged("other writers interfere with the claim").after(mayBeWritten);
	}

	private Loading load(RowKey row) {
		TableService.ReadResult result = this.writer.read(row);
		if (result instanceof TableService.Absent) {
			return new Loading(Optional.empty(), Optional.empty(), Optional.empty());
		}
		if (result instanceof TableService.Found found) {
			Optional<Claim> claim = StateJson.read(found.row().value(), Claim.class);
			Optional<StoreUnavailable> malformed = (claim.isPresent()) ? Optional.empty()
					: Optional.of(StoreUnavailable.unchanged("malformed row of claim"));
			return new Loading(Optional.of(found.row()), claim, malformed);
		}
		String reason = ((TableService.ReadFailed) result).reason();
		return new Loading(Optional.empty(), Optional.empty(), Optional.of(StoreUnavailable.unchanged(reason)));
	}

	private ConditionalWriter.Outcome write(RowKey key, Loading loading, Claim next) {
		String json = StateJson.write(next);
		return this.writer
			.write(loading.row().map((row) -> RowWrite.replace(row, json)).orElseGet(() -> RowWrite.create(key, json)));
	}

	private static Optional<StoreUnavailable> failure(ConditionalWriter.Outcome outcome) {
		if (outcome instanceof ConditionalWriter.NotApplied failed) {
			return Optional.of(StoreUnavailable.unchanged(failed.reason()));
		}
		if (outcome instanceof ConditionalWriter.Unresolved failed) {
			return Optional.of(StoreUnavailable.unknown(failed.reason()));
		}
		return Optional.empty();
	}

	/**
	 * Returns the row of a key.
	 * @param organisation the organisation, not null
	 * @param key the idempotency key, not null
	 * @return the row key, never null
	 */
	public static RowKey rowKey(OrganisationId organisation, String key) {
		String prefix = URLEncoder.encode(organisation.value(), StandardCharsets.UTF_8);
		return RowKey.of(TABLE, prefix + "/" + Objects.requireNonNull(key, "key"));
	}

	/** Result of {@link ClaimStore#claim}. */
	public sealed interface ClaimResult permits Acquired, Running, Finished, OutcomeUnknown, KeyReused, StoreUnavailable {

	}

	/**
	 * The caller may send the call once, to the system of the claim.
	 *
	 * @param row the row of the claim, not null
	 * @param claim the claim, not null
	 * @param sendDeadlineNanos when the caller has to give up sending, on the monotonic
	 * clock of this process, in nanoseconds; a claim that is not sent in time is
	 * withdrawn, since others take it as unknown by then and it may be collected some
	 * time
	 */
	public record Acquired(RowKey row, Claim claim, long sendDeadlineNanos) implements ClaimResult {

		/**
		 * Returns whether the call may still be sent.
		 * @param nowNanos the monotonic time of this process, in nanoseconds
		 * @return true within the timeout of the claim
		 */
		public boolean canSend(long nowNanos) {
			return nowNanos - this.sendDeadlineNanos < 0;
		}

	}

	/**
	 * Another attempt may be running the call.
	 *
	 * @param system the system that runs it, not null
	 */
	public record Running(ServingSystem system) implements ClaimResult {

	}

	/**
	 * The call has run.
	 *
	 * @param system the system that ran it, not null
	 * @param outcome its answer, not null
	 */
	public record Finished(ServingSystem system, StoredOutcome outcome) implements ClaimResult {

	}

	/**
	 * The call may have run; nobody knows its answer and it is not run again.
	 *
	 * @param system the system that may have run it, not null
	 */
	public record OutcomeUnknown(ServingSystem system) implements ClaimResult {

	}

	/** The key was used for another request. */
	public record KeyReused() implements ClaimResult {

	}

	/** Result of an operation that ends a claim. */
	public sealed interface CompleteResult permits Stored, Superseded, StoreUnavailable {

	}

	/** The end of the claim is stored. */
	public record Stored() implements CompleteResult {

	}

	/** The row no longer has the claim, for example since it was too old. */
	public record Superseded() implements CompleteResult {

	}

	/** Result of {@link ClaimStore#collectExpired}. */
	public sealed interface CollectResult permits Collected, StoreUnavailable {

	}

	/**
	 * Old claims were deleted.
	 *
	 * @param count their number
	 */
	public record Collected(int count) implements CollectResult {

	}

	/**
	 * A row as read.
	 *
	 * @param row the row, empty if it does not exist
	 * @param claim the claim, empty if the row does not exist or is malformed
	 * @param failure why it could not be read, empty if it could
	 */
	private record Loading(Optional<Row> row, Optional<Claim> claim, Optional<StoreUnavailable> failure) {

	}

}
