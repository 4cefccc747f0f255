/**
 * Planner daemon, which plans the placement of models and sends commands to engines while
 * it holds the lease of a service.
 */
package org.celeryhill.planner;
