/**
 * Durable state in the table service: leases, command ledger, configuration, claims and
 * planned stops.
 */
package org.celeryhill.state;
