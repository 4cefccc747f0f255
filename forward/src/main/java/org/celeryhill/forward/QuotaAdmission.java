package org.celeryhill.forward;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.quota.QuotaDecision;
import org.celeryhill.quota.QuotaGate;

/**
 * The admission of one request by the quota of its organisation. Withdraws a request that
 * still waits when it ends, and gives the units of an admitted one back exactly once if
 * no backend server has run it. Must be used on the event loop.
 */
final class QuotaAdmission {

	private State state = State.NOT_ASKED;

	private QuotaGate.Ticket ticket;

	private QuotaDecision earlyDecision;

	/** Ends the wait, null if the request does not wait or is not limited in it. */
	private Future<?> timer;

	// Asks for admission. The listener is called at most once, not after end(), and not
	// before the ticket is known.
	void ask(QuotaGate gate, OrganisationId organisation, long tokens, long now, Consumer<QuotaDecision> listener) {
		this.state = State.WAITING;
		this.ticket = gate.request(organisation, tokens, now, (decision) -> {
			if (this.ticket == null) {
				this.earlyDecision = decision;
			}
			else {
				decide(decision, listener);
			}
		});
		if (this.earlyDecision != null) {
			decide(this.earlyDecision, listener);
		}
	}

	private void decide(QuotaDecision decision, Consumer<QuotaDecision> listener) {
		if (this.state != State.WAITING) {
			return;
		}
		this.state = (decision instanceof QuotaDecision.Admitted) ? State.ADMITTED : State.REJECTED;
		cancelTimer();
		listener.accept(decision);
	}

	// Calls a listener if a request that waits now has not been decided in time.
	void limitWait(EventLoop loop, long nanos, Runnable listener) {
		if (this.state == State.WAITING) {
			this.timer = loop.schedule(listener, nanos, TimeUnit.NANOSECONDS);
		}
	}

	private void cancelTimer() {
		if (this.timer != null) {
			this.timer.cancel(false);
			this.timer = null;
		}
	}

	// Returns whether the quota has not been asked, or has admitted the request.
	boolean isOpen() {
		return this.state == State.NOT_ASKED || this.state == State.ADMITTED;
	}

	// Ends the request. Further calls have no effect.
	void end(boolean mayHaveRun, long now) {
		State before = this.state;
		this.state = State.ENDED;
		cancelTimer();
		if (before == State.WAITING) {
			this.ticket.cancel(now);
		}
		else if (before == State.ADMITTED && !mayHaveRun) {
			this.ticket.refund(now);
		}
	}

	private enum State {

		NOT_ASKED, WAITING, ADMITTED, REJECTED, ENDED

	}

}
