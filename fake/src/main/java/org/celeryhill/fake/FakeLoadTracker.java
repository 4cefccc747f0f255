package org.celeryhill.fake;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.celeryhill.base.ModelId;
import org.celeryhill.base.TimerService;
import org.celeryhill.port.EngineReport;
import org.celeryhill.port.EngineReport.Resident;
import org.celeryhill.port.EngineReport.ResidentState;

/**
 * Tracks the loads of one engine from the weight store and reports its models as loading
 * until the store has delivered them. Without a weight store, reports are not changed.
 * Thread-safe.
 */
final class FakeLoadTracker {

	/** Weight store that determines the duration of loads, empty for none. */
	private final Optional<FakeWeightStore> weights;

	/** Clock of the loads. */
	private final TimerService timer;

	/** End of the load by model, in monotonic nanoseconds. Guarded by this. */
	private final Map<ModelId, Long> loadEndNanos = new HashMap<>();

	FakeLoadTracker(Optional<FakeWeightStore> weights, TimerService timer) {
		this.weights = weights;
		this.timer = timer;
	}

	/**
	 * Starts the loads that are new in a report and returns the report with the state
	 * LOADING for each model whose load has not ended.
	 * @param report the report of the engine's memory, not null
	 * @return the adjusted report, never null
	 */
	synchronized EngineReport applyLoadStates(EngineReport report) {
		if (this.weights.isEmpty()) {
			return report;
		}
		Set<ModelId> present = new HashSet<>();
		List<Resident> residents = new ArrayList<>();
		for (Resident resident : report.residents()) {
			present.add(resident.model());
			residents.add(applyLoadState(resident));
		}
		this.loadEndNanos.keySet().retainAll(present);
		return withResidents(report, residents);
	}

	private Resident applyLoadState(Resident resident) {
		if (resident.state() == ResidentState.UNLOADING) {
			return resident;
		}
		Long ready = this.loadEndNanos.computeIfAbsent(resident.model(), this::startLoad);
		boolean isPending = ready - this.timer.nanoTime() > 0;
		return isPending ? new Resident(resident.model(), resident.bytes(), ResidentState.LOADING) : resident;
	}

	private long startLoad(ModelId model) {
		return this.timer.nanoTime() + this.weights.orElseThrow().startLoad(model).toNanos();
	}

	private static EngineReport withResidents(EngineReport report, List<Resident> residents) {
		return new EngineReport(report.engine(), report.incarnation(), report.sequence(), report.memoryBytes(),
				report.legacyBytes(), residents, report.settled(), report.highestToken(), report.isTokenChecked(),
				report.role(), report.running(), report.queued(), report.kvTokensUsed(), report.kvTokensCapacity(),
				report.prefillTokensPerSecond(), report.decodeTokensPerSecond(), report.isLeaving());
	}

}
