/**
 * Organisations and the API keys of their callers. Decides without I/O, threads or clocks
 * of its own.
 */
package org.celeryhill.access;
