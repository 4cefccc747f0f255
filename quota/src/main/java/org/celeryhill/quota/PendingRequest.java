package org.celeryhill.quota;

import java.util.function.Consumer;

/**
 * Request for admission that waits for the answer of the holder.
 *
 * @param units the units of the request
 * @param sinceNanos the monotonic time of the request, in nanoseconds
 * @param listener receives the decision, not null
 * @param ticket the ticket of the request, not null
 */
record PendingRequest(long units, long sinceNanos, Consumer<QuotaDecision> listener, HostQuota.UnitTicket ticket) {
}
