/**
 * Durable state of the serving system, stored in the table service and the object
 * service: leases, command ledgers, configuration revisions, idempotency claims and
 * planned stops.
 */
package org.celeryhill.state;
