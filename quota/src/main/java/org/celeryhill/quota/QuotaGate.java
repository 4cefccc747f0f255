package org.celeryhill.quota;

import java.util.Map;
import java.util.function.Consumer;

import org.celeryhill.base.OrganisationId;

/**
 * Decides whether the requests that arrive at this host are within the quotas of their
 * organisations. Must be used on the event loop.
 */
public interface QuotaGate {

	/** A gate that admits every request. */
	QuotaGate UNLIMITED = new QuotaGate() {
		@Override
		public void configure(Map<OrganisationId, QuotaLimit> limits, long now) {
			// There are no limits to keep.
		}

		@Override
		public Ticket request(OrganisationId organisation, long tokens, long now, Consumer<QuotaDecision> listener) {
			listener.accept(new QuotaDecision.Admitted());
			return Ticket.NONE;
		}
	};

	/**
	 * Replaces the limits.
	 * @param limits the limits by organisation, not null; organisations without a limit
	 * are not restricted
	 * @param now the current time in monotonic nanoseconds
	 */
	void configure(Map<OrganisationId, QuotaLimit> limits, long now);

	/**
	 * Asks for the admission of a request. The listener is called exactly once unless the
	 * ticket is cancelled: before this method returns if this host can decide alone, else
	 * later on the event loop.
	 * @param organisation the organisation, not null
	 * @param tokens the tokens of the request, negative if it states none
	 * @param now the current time in monotonic nanoseconds
	 * @param listener receives the decision, not null
	 * @return the ticket of the request, never null
	 */
	Ticket request(OrganisationId organisation, long tokens, long now, Consumer<QuotaDecision> listener);

	/**
	 * A request for admission. At most one of its methods takes effect, once.
	 */
	interface Ticket {

		/** A ticket that holds no units. */
		Ticket NONE = new Ticket() {
			@Override
			public void refund(long now) {
				// There are no units to give back.
			}

			@Override
			public void cancel(long now) {
				// There is no decision to wait for.
			}
		};

		/**
		 * Gives the units of an admitted request back because no backend server ran it.
		 * @param now the current time in monotonic nanoseconds
		 */
		void refund(long now);

		/**
		 * Withdraws a request that waits for its decision. The listener is not called any
		 * more.
		 * @param now the current time in monotonic nanoseconds
		 */
		void cancel(long now);

	}

}
