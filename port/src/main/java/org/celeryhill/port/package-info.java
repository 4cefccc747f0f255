/**
 * Interfaces to external systems (engines, plain services, stores, the host list) and the
 * messages exchanged with them.
 */
package org.celeryhill.port;
