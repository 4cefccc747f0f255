package org.celeryhill.planner;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import org.celeryhill.base.Finding;
import org.celeryhill.base.ServiceId;
import org.celeryhill.http.Json;
import org.celeryhill.placement.PlacementPlan;
import org.celeryhill.port.Row;
import org.celeryhill.port.RowKey;
import org.celeryhill.port.RowWrite;
import org.celeryhill.port.TableService;
import org.celeryhill.state.ConditionalWriter;

/**
 * Writes the reasons and findings of a plan to the row {@code explain/<service>} when
 * they have changed. If a write is lost, the row keeps older reasons until the next
 * write. Not thread-safe.
 */
final class ReasonWriter {

	private static final String TABLE = "explain";

	private final ConditionalWriter writer;

	/** Key of the row of the service. */
	private final RowKey key;

	/**
	 * Minimum time between two writes, in nanoseconds. The reasons contain the demand and
	 * so change in nearly every round, while the table service handles only several
	 * hundred writes per second from all processes.
	 */
	private static final long MIN_WRITE_INTERVAL_NANOS = 5_000_000_000L;

	/** Maximum number of findings in a row. */
	private static final int MAX_FINDINGS = 100;

	/** Monotonic time of the last write, in nanoseconds. */
	private long lastWriteNanos;

	/** Whether this process has written the row. */
	private boolean isWritten;

	/** Text of the last write. */
	private String lastText = "";

	ReasonWriter(ConditionalWriter writer, ServiceId service) {
		this.writer = Objects.requireNonNull(writer, "writer");
		this.key = RowKey.of(TABLE, service.value());
	}

	/**
	 * Writes the reasons and findings if they have changed and the minimum time since the
	 * last write has passed. Blocks.
	 * @param plan the plan to explain, not null
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void write(PlacementPlan plan, long nowNanos) {
		if (this.isWritten && nowNanos - this.lastWriteNanos < MIN_WRITE_INTERVAL_NANOS) {
			return;
		}
		Map<String, String> sorted = new TreeMap<>();
		plan.reasons().forEach((model, reason) -> sorted.put(model.value(), reason));
		List<String> findings = plan.findings().stream().limit(MAX_FINDINGS).map(Finding::toString).toList();
		String text = Json.mapper().valueToTree(Map.of("reasons", sorted, "findings", findings)).toString();
		if (text.equals(this.lastText)) {
			return;
		}
		TableService.ReadResult result = this.writer.read(this.key);
		if (result instanceof TableService.ReadFailed) {
			return;
		}
		Optional<Row> row = (result instanceof TableService.Found found) ? Optional.of(found.row()) : Optional.empty();
		RowWrite write = row.map((one) -> RowWrite.replace(one, text)).orElseGet(() -> RowWrite.create(this.key, text));
		if (this.writer.write(write) instanceof ConditionalWriter.Applied) {
			this.lastText = text;
			this.lastWriteNanos = nowNanos;
			this.isWritten = true;
		}
	}

}
