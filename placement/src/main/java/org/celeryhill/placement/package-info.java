/**
 * Plans which engine holds which model, without input or output of its own.
 */
package org.celeryhill.placement;
