/**
 * Pure admission, routing, limits and retries of one entry daemon.
 */
package org.celeryhill.traffic;
