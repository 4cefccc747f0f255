/**
 * Simulations in virtual time that measure traffic and placement decisions, and
 * benchmarks of single decisions.
 */
package org.celeryhill.measure;
