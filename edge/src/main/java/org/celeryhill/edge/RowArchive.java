package org.celeryhill.edge;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import org.celeryhill.platform.JsonHttpClient;
import org.celeryhill.platform.StoreClient;

/**
 * Encodes rows of the store as compressed text. Rows of backend servers resemble each
 * other, so that several of them take little more than one.
 */
final class RowArchive {

	private RowArchive() {
	}

	static String encode(List<StoreClient.StoredRow> rows) {
		ArrayNode list = JsonHttpClient.MAPPER.createArrayNode();
		for (StoreClient.StoredRow row : rows) {
			list.addObject()
				.put("key", row.key())
				.put("version", row.version())
				.put("isDeleted", row.isDeleted())
				// Each byte becomes one character, as the value may be any bytes.
				.put("value", new String(row.value(), StandardCharsets.ISO_8859_1));
		}
		try {
			return Compression.compress(JsonHttpClient.MAPPER.writeValueAsBytes(list));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("failed to encode rows", ex);
		}
	}

	/**
	 * Decodes rows.
	 * @param text the result of {@link #encode}, not null
	 * @return the rows in their order, never null
	 * @throws IllegalArgumentException if the text is malformed or too long
	 */
	static List<StoreClient.StoredRow> decode(String text) {
		JsonNode list;
		try {
			list = JsonHttpClient.MAPPER.readTree(Compression.expand(text));
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("malformed rows: " + ex.getMessage(), ex);
		}
		List<StoreClient.StoredRow> rows = new ArrayList<>();
		for (JsonNode row : list) {
			rows.add(new StoreClient.StoredRow(row.path("key").asText(),
					row.path("value").asText().getBytes(StandardCharsets.ISO_8859_1), row.path("version").asLong(),
					row.path("isDeleted").asBoolean()));
		}
		return rows;
	}

}
