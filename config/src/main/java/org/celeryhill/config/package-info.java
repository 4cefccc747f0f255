/**
 * Service templates, organisation parameters and revisions: parsing, validation and
 * comparison.
 */
package org.celeryhill.config;
