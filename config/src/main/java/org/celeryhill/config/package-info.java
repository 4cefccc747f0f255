/**
 * Templates, parameters and revisions: reading, validation and difference.
 */
package org.celeryhill.config;
