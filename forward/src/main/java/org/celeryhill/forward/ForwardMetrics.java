package org.celeryhill.forward;

import org.celeryhill.base.DataCentre;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.traffic.RequestBounds;

/**
 * Records metrics of forwarded requests. Called on the event loop.
 */
public interface ForwardMetrics {

	/**
	 * Counts a request that is refused without having been executed.
	 * @param reason the reason, used as a label, not null
	 */
	void refused(String reason);

	/**
	 * Counts a request for a model that is refused because it cannot be served in time.
	 * @param reason the reason, used as a label, not null
	 * @param organisation the organisation of the request, used as a label for a bounded
	 * number of organisations, not null
	 * @param isForeseen whether the caller heard of it within an eighth of its target
	 * @param arrival whether the caller had been refused before, not null
	 */
	default void recordAdmissionRefusal(String reason, OrganisationId organisation, boolean isForeseen,
			RequestBounds.Arrival arrival) {
	}

	/**
	 * Counts a request that is sent to a backend server.
	 * @param isFirst whether it is the first attempt rather than a retry
	 */
	void recordSend(boolean isFirst);

	/**
	 * Counts a choice of a backend server.
	 * @param dataCentre the data centre of the server, used as a label, not null
	 */
	void recordChoice(DataCentre dataCentre);

	/**
	 * Records how long work takes on the machine of a backend server, as it stated.
	 * @param factor the time relative to the usual one, positive
	 */
	void recordPace(double factor);

	/**
	 * Records the end of a request.
	 * @param status the HTTP status of its response, zero if the response was aborted or
	 * the caller disconnected
	 * @param seconds the time since the headers of the request arrived
	 */
	void recordEnd(int status, double seconds);

	/**
	 * Counts a request of an organisation that has ended.
	 * @param organisation the organisation, not null
	 * @param status the HTTP status of its response, zero if the response was aborted or
	 * the caller disconnected
	 */
	default void recordOrganisationEnd(OrganisationId organisation, int status) {
		// Requests are not counted by organisation.
	}

	/**
	 * Records the time to the first event of a stream.
	 * @param seconds the time since the headers of the request arrived
	 */
	void recordFirstEvent(double seconds);

	/**
	 * Counts a backend server process that ended while it worked on requests of this
	 * host.
	 */
	void recordServerCrash();

	/**
	 * Sets the number of prompt parts that are in quarantine on this host.
	 * @param count the number
	 */
	void setQuarantinedParts(int count);

}
