package org.celeryhill.planner;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import org.celeryhill.base.ModelId;
import org.celeryhill.base.ServiceId;
import org.celeryhill.http.Json;
import org.celeryhill.port.Row;
import org.celeryhill.port.RowKey;
import org.celeryhill.port.RowWrite;
import org.celeryhill.port.TableService;
import org.celeryhill.state.ConditionalWriter;

/**
 * Writes the reasons of a plan to the row {@code explain/<service>} when they have
 * changed. A lost write only makes explanations older. Not thread-safe.
 */
final class ReasonWriter {

	/** Table of the reasons. */
	private static final String TABLE = "explain";

	/** Writer of the rows. */
	private final ConditionalWriter writer;

	/** Row of the service. */
	private final RowKey key;

	/** Text that was written last. */
	private String written = "";

	ReasonWriter(ConditionalWriter writer, ServiceId service) {
		this.writer = Objects.requireNonNull(writer, "writer");
		this.key = RowKey.of(TABLE, service.value());
	}

	/**
	 * Writes the reasons. Blocks.
	 * @param reasons the reason by model, not null
	 */
	void write(Map<ModelId, String> reasons) {
		Map<String, String> sorted = new TreeMap<>();
		reasons.forEach((model, reason) -> sorted.put(model.value(), reason));
		String text = Json.mapper().valueToTree(Map.of("reasons", sorted)).toString();
		if (text.equals(this.written)) {
			return;
		}
		TableService.ReadResult result = this.writer.read(this.key);
		if (result instanceof TableService.ReadFailed) {
			return;
		}
		Optional<Row> row = (result instanceof TableService.Found found) ? Optional.of(found.row()) : Optional.empty();
		RowWrite write = row.map((one) -> RowWrite.replace(one, text)).orElseGet(() -> RowWrite.create(this.key, text));
		if (this.writer.write(write) instanceof ConditionalWriter.Applied) {
			this.written = text;
		}
	}

}
