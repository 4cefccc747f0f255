/**
 * Peer protocol between the entry and planner processes: membership by gossip, and the
 * dissemination of usage totals and configuration revisions.
 */
package org.celeryhill.peer;
