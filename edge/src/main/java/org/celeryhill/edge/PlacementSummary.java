package org.celeryhill.edge;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * What the lease holder tells each host of the placement. It is encoded once for all
 * heartbeats between two ticks and not changed afterwards.
 *
 * @param retiring the models that are about to be unloaded, not null
 * @param arriving the times until models are loaded, not null
 */
record PlacementSummary(ArrayNode retiring, ObjectNode arriving) {
}
