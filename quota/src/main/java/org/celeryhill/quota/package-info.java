/**
 * Quotas of organisations, which all hosts keep together. Decides without I/O, threads or
 * clocks of its own.
 */
package org.celeryhill.quota;
