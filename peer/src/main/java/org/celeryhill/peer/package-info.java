/**
 * Membership of the system's own processes and what they spread among each other.
 */
package org.celeryhill.peer;
