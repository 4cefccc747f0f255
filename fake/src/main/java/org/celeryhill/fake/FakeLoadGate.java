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
 * Keeps residents of one engine in the state loading until the weight store has delivered
 * them. Without a weight store it changes nothing. Thread-safe.
 */
final class FakeLoadGate {

	/** Weight store, if loads go through one. */
	private final Optional<FakeWeightStore> weights;

	/** Time of loads. */
	private final TimerService timer;

	/** Monotonic time at which a load is complete, by model. Guarded by this. */
	private final Map<ModelId, Long> readyNanos = new HashMap<>();

	FakeLoadGate(Optional<FakeWeightStore> weights, TimerService timer) {
		this.weights = weights;
		this.timer = timer;
	}

	/**
	 * Starts the loads that are new in a report and returns the report with the states
	 * that the weight store allows.
	 * @param report the report of the memory, not null
	 * @return the report to hand out, never null
	 */
	synchronized EngineReport apply(EngineReport report) {
		if (this.weights.isEmpty()) {
			return report;
		}
		Set<ModelId> present = new HashSet<>();
		List<Resident> residents = new ArrayList<>();
		for (Resident resident : report.residents()) {
			present.add(resident.model());
			residents.add(gate(resident));
		}
		this.readyNanos.keySet().retainAll(present);
		return withResidents(report, residents);
	}

	private Resident gate(Resident resident) {
		if (resident.state() == ResidentState.UNLOADING) {
			return resident;
		}
		Long ready = this.readyNanos.computeIfAbsent(resident.model(), this::begin);
		boolean isPending = ready - this.timer.nanoTime() > 0;
		return isPending ? new Resident(resident.model(), resident.bytes(), ResidentState.LOADING) : resident;
	}

	private long begin(ModelId model) {
		return this.timer.nanoTime() + this.weights.orElseThrow().startLoad(model).toNanos();
	}

	private static EngineReport withResidents(EngineReport report, List<Resident> residents) {
		return new EngineReport(report.engine(), report.incarnation(), report.sequence(), report.memoryBytes(),
				report.legacyBytes(), residents, report.settled(), report.highestToken(), report.isTokenChecked(),
				report.role(), report.running(), report.queued(), report.kvTokensUsed(), report.kvTokensCapacity(),
				report.prefillTokensPerSecond(), report.decodeTokensPerSecond(), report.isLeaving());
	}

}
