/**
 * Stateful fuzzing of the state and decision code in virtual time, against plain oracles.
 */
package org.celeryhill.fuzz;
