/**
 * A load profile of the data path: callers, one entry host and backend servers of which
 * some answer oddly, all in one process on the loopback interface.
 */
package org.celeryhill.measure.oddserver;
