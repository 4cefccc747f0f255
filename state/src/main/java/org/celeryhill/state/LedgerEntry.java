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
 * A recorded command. It is outstanding until the engine shows that it was run or
 * refused, and then finished. A finished entry stays in the ledger while a copy of the
 * command may still arrive: while a sender may still send it, and for the copy bound
 * after that. Immutable and thread-safe.
 *
 * @param id the command, not null
 * @param action what it does, not null
 * @param model the model, adapter or role, not null
 * @param bytes the memory it takes or frees, in bytes
 * @param token the highest fencing token under which it may have been sent, not null
 * @param incarnation the incarnation of the engine when it was last recorded or resent,
 * not null
 * @param state how far it is, not null
 * @param openSenders the processes that may be about to send it, not null
 * @param maybeSent whether a byte of it may have been sent by a process that is no longer
 * an open sender
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
	 * Returns the entry of a command that is about to be sent.
	 * @param command the command, not null
	 * @param incarnation the incarnation of the engine, not null
	 * @param sender the process that sends it, not null
	 * @return the entry, never null
	 */
	public static LedgerEntry createOutstanding(EngineCommand command, String incarnation, SenderId sender) {
		return new LedgerEntry(command.attempt(), command.action(), command.model(), command.bytes(), command.token(),
				incarnation, State.OUTSTANDING, List.of(sender), false);
	}

	/**
	 * Returns whether the command is not known to have been run or refused.
	 * @return true if it is outstanding
	 */
	public boolean isOutstanding() {
		return this.state == State.OUTSTANDING;
	}

	/**
	 * Returns whether the command can make memory used: a load, or a role change that
	 * takes memory.
	 * @return true if its bytes are reserved
	 */
	public boolean reservesMemory() {
		return !this.action.isUnload() && this.bytes > 0;
	}

	/**
	 * Returns whether no process is about to send the command.
	 * @return true if there is no open sender
	 */
	public boolean hasNoOpenSenders() {
		return this.openSenders.isEmpty();
	}

	/**
	 * Returns whether the command was never sent and never will be.
	 * @return true if it can be removed
	 */
	public boolean isNeverSent() {
		return hasNoOpenSenders() && !this.maybeSent;
	}

	/**
	 * Returns a copy that is finished.
	 * @return the copy, never null
	 */
	public LedgerEntry asFinished() {
		return new LedgerEntry(this.id, this.action, this.model, this.bytes, this.token, this.incarnation,
				State.FINISHED, this.openSenders, this.maybeSent);
	}

	/**
	 * Returns a copy that another process, or the same one once more, is about to send.
	 * @param newToken the token under which it is sent, not null
	 * @param newIncarnation the incarnation of the engine, not null
	 * @param sender the process, not null
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
	 * Returns a copy after a process has finished sending.
	 * @param sender the process, not null; ignored if it is not open
	 * @param result what the process knows of the sending, not null
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
	 * Returns a copy without the open senders of a host, whose processes are known to
	 * have ended. What they have sent is not known.
	 * @param host the host, not null
	 * @param alive the process of the host that runs, not null
	 * @return the copy, never null
	 */
	public LedgerEntry withClosedSendersExcept(HostId host, SenderId alive) {
		List<SenderId> senders = this.openSenders.stream()
			.filter((sender) -> !sender.host().equals(host) || sender.equals(alive))
			.toList();
		return (senders.size() == this.openSenders.size()) ? this : withSenders(senders, true);
	}

	private LedgerEntry withSenders(List<SenderId> senders, boolean sent) {
		return new LedgerEntry(this.id, this.action, this.model, this.bytes, this.token, this.incarnation, this.state,
				senders, sent);
	}

	/** How far a command is. */
	public enum State {

		/** It may or may not have been run. */
		OUTSTANDING,

		/** It was run or refused; only copies of it can still arrive. */
		FINISHED

	}

}
