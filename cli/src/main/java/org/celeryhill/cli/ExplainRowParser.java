package org.celeryhill.cli;

import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Parses rows of the table {@code explain}. A row is a JSON object whose field
 * {@code reasons} maps model ids to reasons. Stateless and thread-safe.
 */
final class ExplainRowParser {

	/** JSON parser. */
	private static final ObjectMapper JSON = new ObjectMapper();

	private ExplainRowParser() {
	}

	/**
	 * Returns the reason for the placement of a model.
	 * @param json the value of the row
	 * @param model the id of the model or adapter
	 * @return the reason, empty if the row has none for the model or is not valid JSON
	 */
	static Optional<String> reason(String json, String model) {
		try {
			JsonNode reason = JSON.readTree(json).path("reasons").path(model);
			return reason.isTextual() ? Optional.of(reason.asText()) : Optional.empty();
		}
		catch (JsonProcessingException ex) {
			return Optional.empty();
		}
	}

}
