/**
 * The entry daemon: callers' API, data path, claims of non-idempotent calls and the
 * daemon's view of backend servers and configuration.
 */
package org.celeryhill.entry;
