/**
 * Forwards requests of callers unchanged to backend servers: routes, discovery, attempts,
 * relay of event streams. Knows no names of the wire; a {@link HeaderCodec} supplies
 * them.
 */
package org.celeryhill.forward;
