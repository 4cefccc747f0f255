package org.celeryhill.cli;

import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Row of the table {@code explain}: the reason by model in the field {@code reasons}.
 * Stateless and thread-safe.
 */
final class ExplainRow {

	/** Reader of the rows. */
	private static final ObjectMapper READER = new ObjectMapper();

	private ExplainRow() {
	}

	static Optional<String> reason(String json, String model) {
		try {
			JsonNode reason = READER.readTree(json).path("reasons").path(model);
			return reason.isTextual() ? Optional.of(reason.asText()) : Optional.empty();
		}
		catch (JsonProcessingException ex) {
			return Optional.empty();
		}
	}

}
