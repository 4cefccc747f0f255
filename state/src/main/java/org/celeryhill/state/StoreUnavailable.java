package org.celeryhill.state;

import java.util.Objects;

/**
 * Result of an operation that the table or object service did not let finish within the
 * bounded retries. Immutable and thread-safe.
 *
 * @param reason a short text for logs, not null
 * @param isOutcomeUnknown whether a write of the operation may have taken effect or may
 * still do so; false means that nothing was changed and nothing will be
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
	 * Returns a result for an operation that changed nothing.
	 * @param reason a short text for logs, not null
	 * @return the result, never null
	 */
	static StoreUnavailable unchanged(String reason) {
		return new StoreUnavailable(reason, false);
	}

	/**
	 * Returns a result for an operation whose write may take effect.
	 * @param reason a short text for logs, not null
	 * @return the result, never null
	 */
	static StoreUnavailable unknown(String reason) {
		return new StoreUnavailable(reason, true);
	}

	/**
	 * Returns this result for an operation that may have written before it failed.
	 * @param mayBeWritten whether an earlier write of the operation may have taken effect
	 * @return the result, never null
	 */
	StoreUnavailable after(boolean mayBeWritten) {
		return new StoreUnavailable(this.reason, this.isOutcomeUnknown || mayBeWritten);
	}

	/**
	 * Returns whether a write may have taken effect although it was overtaken.
	 * @param outcome the outcome of the write, not null
	 * @return true if only the content of the row can tell
	 */
	static boolean mayBeWritten(ConditionalWriter.Outcome outcome) {
		return outcome instanceof ConditionalWriter.VersionConflict overtaken && overtaken.mayHaveApplied();
	}

}
