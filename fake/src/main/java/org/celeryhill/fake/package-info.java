/**
 * In-process fakes of the external systems and the switchboard that injects faults into
 * them.
 */
package org.celeryhill.fake;
