/**
 * Operator command-line interface.
 */
package org.celeryhill.cli;
