/**
 * HTTP clients for the external systems, and an HTTP server with operational endpoints,
 * log output and settings checks for the daemons.
 */
package org.celeryhill.http;
