package org.celeryhill.state;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PlannedStopsTests {

	private static final StopTarget TARGET = StopTarget.backendServer(BackendServerId.of("engine-3"));

	private final Fixture fixture = new Fixture();

	private final PlannedStopStore stops = PlannedStopStore.create(this.fixture.writer, this.fixture.timer);

	/** Guards against late progress that reopens a stop which is done. */
	@Test
	void doneStopIsNotReopened() {
		PlannedStop stop = stop(this.stops.announce(TARGET, "anna", "new disk"));
		assertThat(stop(this.stops.progress(stop, "2 streams")).state()).isEqualTo(PlannedStop.State.DRAINING);
		this.stops.markDone(stop);
		assertThat(stop(this.stops.progress(stop, "1 stream")).state()).isEqualTo(PlannedStop.State.DONE);
	}

	/** Guards against progress of an earlier stop that changes the next one. */
	@Test
	void earlierStopDoesNotChangeNextOne() {
		PlannedStop old = stop(this.stops.announce(TARGET, "anna", "new disk"));
		this.stops.markDone(old);
		this.stops.clear(old);
		PlannedStop next = stop(this.stops.announce(TARGET, "bert", "new fan"));
		assertThat(stop(this.stops.markDone(old))).isEqualTo(next);
		assertThat(((PlannedStopStore.Listed) this.stops.list()).stops()).containsExactly(next);
	}

	/** Guards against a data centre stop that leaves out its backend servers. */
	@Test
	void dataCentreCoversItsBackendServers() {
		DataCentre dataCentre = DataCentre.of("dc-1");
		StopTarget target = StopTarget.dataCentre(dataCentre);
		assertThat(target.covers(BackendServerId.of("engine-3"), dataCentre)).isTrue();
		assertThat(target.covers(BackendServerId.of("engine-3"), DataCentre.of("dc-2"))).isFalse();
	}

	private static PlannedStop stop(PlannedStopStore.StopResult result) {
		return ((PlannedStopStore.StoredStop) result).stop();
	}

}
