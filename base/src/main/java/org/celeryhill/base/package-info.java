/**
 * Value types, time, findings and logging that all modules share.
 */
package org.celeryhill.base;
