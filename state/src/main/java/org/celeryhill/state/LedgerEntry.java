package org.celeryhill.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.FencingToken;
import org.celeryhill.base.HostId;
import org.celeryhill.base.ModelId;
import org.celeryhill.port.Engine.CommandResult;
import org.celeryhill.port.EngineCommand;

/**
 * An engine command that is recorded in the ledger. It is outstanding until the engine
 * shows that it was executed or refused, and finished from then on. A finished entry
 * stays in the ledger while a duplicate of the command may still arrive: as long as a
 * sender may still send it, and for the copy bound after that. Immutable and thread-safe.
 *
 * @param id the id of the command, not null
 * @param action the action of the command, not null
 * @param model the model or adapter, or the name of the role for a role change, not null
 * @param bytes the accelerator memory that the command takes or frees, in bytes
 * @param token the highest fencing token with which the command may have been sent, not
 * null
 * @param incarnation the incarnation of the engine when the command was last recorded for
 * sending, not null
 * @param state the state of the command, not null
 * @param openSenders the processes that may still send the command, not null
 * @param maybeSent whether a process that is no longer an open sender may have sent a
 * byte of the command
 */
public record LedgerEntry(AttemptId id, EngineCommand.Action action, ModelId model, long bytes, FencingToken token,
		String incarnation, State state, List<SenderId> openSenders, boolean maybeSent) {

	/** Creates an entry and copies the list. */
	public LedgerEntry {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(action, "action");
		Objects.requireNonNull(model, "model");
		Objects.requireNonNull(token, "token");
		Objects.requireNonNull(incarnation, "incarnation");
		Objects.requireNonNull(state, "state");
		openSenders = List.copyOf(openSenders);
	}

	/**
	 * Returns the entry of a command that is about to be sent for the first time.
	 * @param command the command, not null
	 * @param incarnation the current incarnation of the engine, not null
	 * @param sender the process that sends the command, not null
	 * @return the entry, never null
	 */
	public static LedgerEntry createOutstanding(EngineCommand command, String incarnation, SenderId sender) {
		return new LedgerEntry(command.attempt(), command.action(), command.model(), command.bytes(), command.token(),
				incarnation, State.OUTSTANDING, List.of(sender), false);
	}

	/**
	 * Returns whether it is unknown if the command was executed or refused.
	 * @return true if it is outstanding
	 */
	public boolean isOutstanding() {
		return this.state == State.OUTSTANDING;
	}

	/**
	 * Returns whether the command can take memory on the engine, as a load or some role
	 * changes do.
	 * @return true if memory is reserved for the command
	 */
	public boolean reservesMemory() {
		return !this.action.isUnload() && this.bytes > 0;
	}

	/**
	 * Returns whether no process may still send the command.
	 * @return true if there is no open sender
	 */
	public boolean hasNoOpenSenders() {
		return this.openSenders.isEmpty();
	}

	/**
	 * Returns whether the command was never sent and never will be sent.
	 * @return true if the entry can be removed from the ledger
	 */
	public boolean isNeverSent() {
		return hasNoOpenSenders() && !this.maybeSent;
	}

	/**
	 * Returns a copy in the state {@link State#FINISHED}.
	 * @return the copy, never null
	 */
	public LedgerEntry asFinished() {
		return new LedgerEntry(this.id, this.action, this.model, this.bytes, this.token, this.incarnation,
				State.FINISHED, this.openSenders, this.maybeSent);
	}

	/**
	 * Returns a copy with one more open sender, for a command that is about to be sent
	 * again.
	 * @param newToken the fencing token with which the command is sent, not null
	 * @param newIncarnation the current incarnation of the engine, not null
	 * @param sender the process that sends the command, which may be an earlier sender,
	 * not null
	 * @return the copy, never null
	 */
	public LedgerEntry withResend(FencingToken newToken, String newIncarnation, SenderId sender) {
		List<SenderId> senders = new ArrayList<>(this.openSenders);
		senders.add(sender);
		FencingToken highest = (newToken.compareTo(this.token) > 0) ? newToken : this.token;
		return new LedgerEntry(this.id, this.action, this.model, this.bytes, highest, newIncarnation, this.state,
				senders, this.maybeSent);
	}

	/**
	 * Returns a copy after a process has finished sending the command.
	 * @param sender the process, not null; ignored if it is not an open sender
	 * @param result the outcome of the send as known to the process, not null
	 * @return the copy, never null
	 */
	public LedgerEntry withClosedSender(SenderId sender, CommandResult result) {
		if (!this.openSenders.contains(sender)) {
			return this;
		}
		List<SenderId> senders = new ArrayList<>(this.openSenders);
		senders.remove(sender);
		return withSenders(senders, this.maybeSent || result != CommandResult.NOT_SENT);
	}

	/**
	 * Returns a copy without the open senders of a host whose processes are known to have
	 * ended. Since the outcomes of their sends are not known, the command counts as
	 * possibly sent.
	 * @param host the host, not null
	 * @param runningProcess the process of the host that is still running, not null
	 * @return the copy, never null
	 */
	public LedgerEntry withClosedSendersExcept(HostId host, SenderId runningProcess) {
		List<SenderId> senders = this.openSenders.stream()
			.filter((sender) -> !sender.host().equals(host) || sender.equals(runningProcess))
			.toList();
		return (senders.size() == this.openSenders.size()) ? this : withSenders(senders, true);
	}

	private LedgerEntry withSenders(List<SenderId> senders, boolean newMaybeSent) {
		return new LedgerEntry(this.id, this.action, this.model, this.bytes, this.token, this.incarnation, this.state,
				senders, newMaybeSent);
	}

	/** State of a command. */
	public enum State {

		/** The command may or may not have been executed. */
		OUTSTANDING,

		/**
		 * The command was executed or refused; only duplicates of it can still arrive.
		 */
		FINISHED

	}

}
