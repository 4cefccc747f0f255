/**
 * Admission, fair queueing, routing, concurrency limits, retries and hedging of one entry
 * daemon. The code does no I/O, reads no clock and starts no thread.
 */
package org.celeryhill.traffic;
