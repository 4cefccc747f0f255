/**
 * Forwards the requests of callers to backend servers: routing, the directory of backend
 * servers, attempts, and the relay of event streams. Header names and formats are not
 * defined here; a {@link HeaderCodec} implementation supplies them.
 */
package org.celeryhill.forward;
