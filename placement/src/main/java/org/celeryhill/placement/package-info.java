/**
 * Pure planning of which engine holds which model.
 */
package org.celeryhill.placement;
