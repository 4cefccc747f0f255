/**
 * Stand-ins for the external systems over HTTP, and the load generator.
 */
package org.celeryhill.standin;
