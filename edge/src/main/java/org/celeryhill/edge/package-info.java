/**
 * The edge daemon: one process on each entry host that forwards requests and, while it
 * holds the placement lease, places models on engines. Connects the product's modules
 * with the adapter of the platform.
 */
package org.celeryhill.edge;
