package org.celeryhill.edge;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import org.celeryhill.platform.JsonHttpClient;
import org.celeryhill.platform.StoreClient;

/**
 * Encodes rows of the store as compressed text. Rows of backend servers resemble each
 * other, so that several of them take little more than one.
 */
final class RowArchive {

	/** Size up to which the rows of a message are expanded. */
	private static final int MAX_EXPANDED_BYTES = 16 << 20;

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
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (DeflaterOutputStream deflater = new DeflaterOutputStream(bytes)) {
			deflater.write(JsonHttpClient.MAPPER.writeValueAsBytes(list));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("failed to encode rows", ex);
		}
		return Base64.getEncoder().encodeToString(bytes.toByteArray());
	}

	/**
	 * Decodes rows.
	 * @param text the result of {@link #encode}, not null
	 * @return the rows in their order, never null
	 * @throws IllegalArgumentException if the text is malformed or too long
	 */
	static List<StoreClient.StoredRow> decode(String text) {
		JsonNode list;
		try (InflaterInputStream inflater = new InflaterInputStream(
				new ByteArrayInputStream(Base64.getDecoder().decode(text)))) {
			byte[] bytes = inflater.readNBytes(MAX_EXPANDED_BYTES + 1);
			if (bytes.length > MAX_EXPANDED_BYTES) {
				throw new IllegalArgumentException("rows are longer than " + MAX_EXPANDED_BYTES + " bytes");
			}
			list = JsonHttpClient.MAPPER.readTree(bytes);
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
