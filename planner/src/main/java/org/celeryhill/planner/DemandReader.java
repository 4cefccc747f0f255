package org.celeryhill.planner;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.TimerService;
import org.celeryhill.http.Json;
import org.celeryhill.placement.PlanInput.ModelDemand;
import org.celeryhill.port.Row;
import org.celeryhill.port.RowKey;
import org.celeryhill.port.TableService;

/**
 * Sums the demand that the entry daemons publish in the table {@code demand}. A row that
 * does not change any more, since its daemon is gone, ages out. Not thread-safe.
 */
final class DemandReader {

	/** Table of the rows, one by entry daemon. */
	private static final String TABLE = "demand";

	/** Table service. */
	private final TableService table;

	/** Time. */
	private final TimerService timer;

	/** Time after which an unchanged row does not count, in nanoseconds. */
	private final long maxAgeNanos;

	/** Latest version of each row and when it was first seen. */
	private final Map<RowKey, Sighting> sightings = new HashMap<>();

	/** Latest sums. */
	private volatile Map<ModelId, ModelDemand> demand = Map.of();

	DemandReader(TableService table, TimerService timer, Duration maxAge) {
		this.table = Objects.requireNonNull(table, "table");
		this.timer = Objects.requireNonNull(timer, "timer");
		this.maxAgeNanos = maxAge.toNanos();
	}

	Map<ModelId, ModelDemand> demand() {
		return this.demand;
	}

	/** Reads the rows; without an answer the latest sums stay. Blocks. */
	void refresh() {
		if (!(this.table.scan(TABLE, "") instanceof TableService.Rows rows)) {
			return;
		}
		long now = this.timer.nanoTime();
		Map<ModelId, ModelDemand> sums = new HashMap<>();
		for (Row row : rows.rows()) {
			Sighting seen = this.sightings.get(row.key());
			if (seen == null || seen.version() != row.version()) {
				seen = new Sighting(row.version(), now);
				this.sightings.put(row.key(), seen);
			}
			if (now - seen.nanos() <= this.maxAgeNanos) {
				add(row, sums);
			}
		}
		this.demand = Map.copyOf(sums);
	}

	private static void add(Row row, Map<ModelId, ModelDemand> sums) {
		JsonNode models = Json.read(row.value().getBytes(java.nio.charset.StandardCharsets.UTF_8), JsonNode.class)
			.map((tree) -> tree.path("models"))
			.orElse(com.fasterxml.jackson.databind.node.MissingNode.getInstance());
		models.fields().forEachRemaining((field) -> {
			JsonNode value = field.getValue();
			ModelDemand one = new ModelDemand(value.path("tokensPerSecond").asDouble(),
					value.path("valuePerSecond").asDouble(), value.path("waiting").asInt());
			sums.merge(ModelId.of(field.getKey()), one, DemandReader::plus);
		});
	}

	private static ModelDemand plus(ModelDemand a, ModelDemand b) {
		return new ModelDemand(a.tokensPerSecond() + b.tokensPerSecond(), a.valuePerSecond() + b.valuePerSecond(),
				a.waiting() + b.waiting());
	}

	/**
	 * A version of a row and when it was first seen.
	 *
	 * @param version the version
	 * @param nanos the monotonic time in nanoseconds
	 */
	private record Sighting(long version, long nanos) {

	}

}
