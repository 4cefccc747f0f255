package org.celeryhill.state;

import java.util.Objects;

/**
 * Result of an operation that failed because the table service or the object service did
 * not complete it within the bounded retries. Immutable and thread-safe.
 *
 * @param reason a short text for logs, not null
 * @param isOutcomeUnknown whether a write of the operation may have taken effect or may
 * still take effect; false means that nothing was or will be changed
 */
public record StoreUnavailable(String reason, boolean isOutcomeUnknown)
		implements
			LeaseStore.AcquireResult,
			LeaseStore.RenewResult,
			LeaseStore.ReleaseResult,
			CommandLedgerStore.RecordResult,
			CommandLedgerStore.ChangeResult,
			CommandLedgerStore.LoadResult,
			CommandLedgerStore.LoadAllResult,
			ConfigurationStore.ProposeResult,
			ConfigurationStore.HeadResult,
			ConfigurationStore.FetchResult,
			ClaimStore.ClaimResult,
			ClaimStore.CompleteResult,
			ClaimStore.CollectResult,
			PlannedStopStore.StopResult,
			PlannedStopStore.ListResult {

	/** Creates a result. */
	public StoreUnavailable {
		Objects.requireNonNull(reason, "reason");
	}

	/**
	 * Returns the result of an operation that changed nothing.
	 * @param reason a short text for logs, not null
	 * @return the result, never null
	 */
	static StoreUnavailable nothingWritten(String reason) {
		return new StoreUnavailable(reason, false);
	}

	/**
	 * Returns the result of an operation whose write may have taken effect or may still
	 * take effect.
	 * @param reason a short text for logs, not null
	 * @return the result, never null
	 */
	static StoreUnavailable outcomeUnknown(String reason) {
		return new StoreUnavailable(reason, true);
	}

	/**
	 * Returns this result, with an unknown outcome if an earlier write of the same
	 * operation may have taken effect.
	 * @param mayBeWritten whether an earlier write of the operation may have taken effect
	 * @return the result, never null
	 */
	StoreUnavailable withPossibleWrite(boolean mayBeWritten) {
		return new StoreUnavailable(this.reason, this.isOutcomeUnknown || mayBeWritten);
	}

	/**
	 * Returns whether a write that failed with a version conflict may have taken effect
	 * before the row was changed again.
	 * @param outcome the outcome of the write, not null
	 * @return true if only the content of the row can show whether it took effect
	 */
	static boolean mayBeWritten(ConditionalWriter.Outcome outcome) {
		return outcome instanceof ConditionalWriter.VersionConflict overtaken && overtaken.mayHaveApplied();
	}

}
