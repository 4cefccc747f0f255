/**
 * Measurements of traffic and placement decisions in virtual time.
 */
package org.celeryhill.measure;
