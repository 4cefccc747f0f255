/**
 * The edge daemon: one process on each entry host that forwards requests and, while it
 * holds the lease, places models. Wires the product's parts to the platform's adapter.
 */
package org.celeryhill.edge;
