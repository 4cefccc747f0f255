/**
 * HTTP stand-ins for the external systems, for tests and demonstrations, and a load
 * generator.
 */
package org.celeryhill.standin;
