/**
 * In-process fakes of the external systems, with seeded fault injection.
 */
package org.celeryhill.fake;
