/**
 * Soak of the edge daemon: runs daemons as separate processes, injects faults from
 * outside and checks what callers and backend servers see.
 */
package org.celeryhill.soak;
