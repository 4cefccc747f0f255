/**
 * Interfaces to the systems outside this one, and the messages they carry.
 */
package org.celeryhill.port;
