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
 * stays unchanged for too long is ignored, since its daemon has ended. Not thread-safe.
 */
final class DemandReader {

	/** Table of the demand, with one row per entry daemon. */
	private static final String TABLE = "demand";

	private final TableService table;

	private final TimerService timer;

	/** Age after which an unchanged row is ignored, in nanoseconds. */
	private final long maxAgeNanos;

	/** Latest version of each row with the time at which it was first seen. */
	private final Map<RowKey, ObservedVersion> observedVersions = new HashMap<>();

	/** Latest sums by model. */
	private volatile Map<ModelId, ModelDemand> demand = Map.of();

	DemandReader(TableService table, TimerService timer, Duration maxAge) {
		this.table = Objects.requireNonNull(table, "table");
		this.timer = Objects.requireNonNull(timer, "timer");
		this.maxAgeNanos = maxAge.toNanos();
	}

	Map<ModelId, ModelDemand> demand() {
		return this.demand;
	}

	/**
	 * Reads the rows and updates the sums. If the rows cannot be read, the previous sums
	 * stay in effect. Blocks.
	 */
	void refresh() {
		if (!(this.table.scan(TABLE, "") instanceof TableService.Rows rows)) {
			return;
		}
		long now = this.timer.nanoTime();
		Map<ModelId, ModelDemand> sums = new HashMap<>();
		for (Row row : rows.rows()) {
			ObservedVersion observed = this.observedVersions.get(row.key());
			if (observed == null || observed.version() != row.version()) {
				observed = new ObservedVersion(row.version(), now);
				this.observedVersions.put(row.key(), observed);
			}
			if (now - observed.firstSeenNanos() <= this.maxAgeNanos) {
				addRow(row, sums);
			}
		}
		this.demand = Map.copyOf(sums);
	}

	private static void addRow(Row row, Map<ModelId, ModelDemand> sums) {
		JsonNode models = Json.read(row.value().getBytes(java.nio.charset.StandardCharsets.UTF_8), JsonNode.class)
			.map((tree) -> tree.path("models"))
			.orElse(com.fasterxml.jackson.databind.node.MissingNode.getInstance());
		models.fields().forEachRemaining((field) -> {
			JsonNode value = field.getValue();
			ModelDemand modelDemand = new ModelDemand(value.path("tokensPerSecond").asDouble(),
					value.path("valuePerSecond").asDouble(), value.path("waiting").asInt());
			sums.merge(ModelId.of(field.getKey()), modelDemand, DemandReader::sum);
		});
	}

	private static ModelDemand sum(ModelDemand a, ModelDemand b) {
		return new ModelDemand(a.tokensPerSecond() + b.tokensPerSecond(), a.valuePerSecond() + b.valuePerSecond(),
				a.waiting() + b.waiting());
	}

	/**
	 * Version of a row with the time at which it was first seen.
	 *
	 * @param version the version of the row
	 * @param firstSeenNanos the monotonic time in nanoseconds
	 */
	private record ObservedVersion(long version, long firstSeenNanos) {

	}

}
