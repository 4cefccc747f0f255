package org.celeryhill.edge;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.celeryhill.platform.JsonHttpClient;
import org.celeryhill.platform.StoreClient;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link RowArchive} at the size of the largest fleet to be expected.
 */
class RowArchiveTests {

	private static final int ENGINES = 3400;

	private static final int MODELS = 1200;

	/** Size from which on a JSON response is given up. */
	private static final int MAX_MESSAGE_BYTES = 8 << 20;

	private final Random random = new Random(1);

	private StoreClient.StoredRow engineRow(int index) {
		ObjectNode entry = JsonHttpClient.MAPPER.createObjectNode()
			.put("service", "service-" + index % 20)
			.put("address", "10." + index / 65_536 + "." + index / 256 % 256 + "." + index % 256 + ":8000")
			.put("zone", "zone-" + index % 12)
			.put("version", 17)
			.put("slots", 64)
			.put("state", "ready")
			.put("cold_remaining_ms", 0)
			.put("sequence", this.random.nextInt(1_000_000))
			.put("born", 1_700_000_000_000L + this.random.nextInt());
		ArrayNode models = entry.putArray("models");
		for (int i = 0; i < 3; i++) {
			ArrayNode adapters = models.addObject().put("name", modelName()).put("version", 1).putArray("adapters");
			adapters.add("a" + this.random.nextInt(9)).add("a" + this.random.nextInt(9));
		}
		ObjectNode available = entry.putObject("available");
		addModels(available.putArray("in_memory"), 6);
		addModels(available.putArray("on_disk"), 20);
		return new StoreClient.StoredRow("i-" + Integer.toHexString(this.random.nextInt()),
				entry.toString().getBytes(StandardCharsets.UTF_8), 1_000_000 + index, false);
	}

	private void addModels(ArrayNode list, int count) {
		for (int i = 0; i < count; i++) {
			list.add(modelName());
		}
	}

	private String modelName() {
		return "model" + this.random.nextInt(MODELS);
	}

	// Guards against hosts that cannot take the whole table of backend servers from the
	// lease holder, because it does not fit into a message.
	@Test
	void wholeTableOfLargeFleetFitsMessage() {
		List<StoreClient.StoredRow> rows = new ArrayList<>();
		for (int i = 0; i < ENGINES; i++) {
			rows.add(engineRow(i));
		}
		String text = RowArchive.encode(rows);
		assertThat(text.length()).isLessThan(MAX_MESSAGE_BYTES);
		List<StoreClient.StoredRow> decoded = RowArchive.decode(text);
		assertThat(decoded).hasSize(ENGINES);
		for (int i = 0; i < ENGINES; i++) {
			assertThat(decoded.get(i).key()).isEqualTo(rows.get(i).key());
			assertThat(decoded.get(i).version()).isEqualTo(rows.get(i).version());
			assertThat(decoded.get(i).value()).isEqualTo(rows.get(i).value());
		}
	}

}
