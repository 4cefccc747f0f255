/**
 * The entry daemon: the callers' API, the data path from backend servers to callers, the
 * claims of non-idempotent calls, and the daemon's view of backend servers and
 * configuration.
 */
package org.celeryhill.entry;
