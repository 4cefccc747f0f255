/**
 * Identifiers and other value types, timers, validation findings and event logging,
 * shared by all modules.
 */
package org.celeryhill.base;
