/**
 * HTTP clients for the external systems and a small HTTP server toolkit for the daemons.
 */
package org.celeryhill.http;
