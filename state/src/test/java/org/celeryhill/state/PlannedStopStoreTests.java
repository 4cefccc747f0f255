package org.celeryhill.state;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PlannedStopStoreTests {

	private static final StopTarget TARGET = StopTarget.backendServer(BackendServerId.of("engine-3"));

	private final StateFixture fixture = new StateFixture();

	private final PlannedStopStore stops = PlannedStopStore.create(this.fixture.writer, this.fixture.timer);

	/**
	 * Guards against a stop that is done and changes back to draining because of a late
	 * progress report.
	 */
	@Test
	void doneStopIsNotReopened() {
		PlannedStop stop = storedStop(this.stops.announce(TARGET, "anna", "new disk"));
		assertThat(storedStop(this.stops.progress(stop, "2 streams")).state()).isEqualTo(PlannedStop.State.DRAINING);
		this.stops.markDone(stop);
		assertThat(storedStop(this.stops.progress(stop, "1 stream")).state()).isEqualTo(PlannedStop.State.DONE);
	}

	/**
	 * Guards against an update of an earlier stop that changes the next stop of the same
	 * target.
	 */
	@Test
	void updateOfEarlierStopDoesNotChangeNextStop() {
		PlannedStop old = storedStop(this.stops.announce(TARGET, "anna", "new disk"));
		this.stops.markDone(old);
		this.stops.clear(old);
		PlannedStop next = storedStop(this.stops.announce(TARGET, "bert", "new fan"));
		assertThat(storedStop(this.stops.markDone(old))).isEqualTo(next);
		assertThat(((PlannedStopStore.Listed) this.stops.list()).stops()).containsExactly(next);
	}

	/**
	 * Guards against a stop of a data centre that does not apply to its backend servers,
	 * or applies to those of another data centre.
	 */
	@Test
	void dataCentreStopCoversItsBackendServers() {
		DataCentre dataCentre = DataCentre.of("dc-1");
		StopTarget target = StopTarget.dataCentre(dataCentre);
		assertThat(target.covers(BackendServerId.of("engine-3"), dataCentre)).isTrue();
		assertThat(target.covers(BackendServerId.of("engine-3"), DataCentre.of("dc-2"))).isFalse();
	}

	private static PlannedStop storedStop(PlannedStopStore.StopResult result) {
		return ((PlannedStopStore.StoredStop) result).stop();
	}

}
