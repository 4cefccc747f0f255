/**
 * Planner daemon: leases, placement and commands to engines.
 */
package org.celeryhill.planner;
