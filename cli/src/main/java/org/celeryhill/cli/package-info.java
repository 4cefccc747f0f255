/**
 * Command-line interface for operators.
 */
package org.celeryhill.cli;
