/**
 * Fuzzes the state and decision code with sequences of random steps in virtual time, and
 * checks the resulting states with simple oracles.
 */
package org.celeryhill.fuzz;
