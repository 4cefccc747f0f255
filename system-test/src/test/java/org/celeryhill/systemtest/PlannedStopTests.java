package org.celeryhill.systemtest;

import java.nio.file.Path;
import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Planned stops of backend servers under load.
 */
class PlannedStopTests {

	/** Stated bound for the last new work of a leaving backend server. */
	private static final Duration BOUND = Duration.ofSeconds(5);

	@TempDir(cleanup = CleanupMode.ON_SUCCESS)
	private Path directory;

	/** Guards against a stop that cuts streams off, or that goes on sending new work. */
	@Test
	void plannedStopOfEngineMovesItsWork() throws InterruptedException {
		try (Fleet fleet = Fleet.start(this.directory, 2, 2); Workload load = new Workload(fleet, 80)) {
			load.startStreams(20);
			Thread.sleep(1000);
			fleet.run("plan-stop", "backend-server", "beater-llm-1", "--reason", "repair");
			Thread.sleep(BOUND.toMillis());
			long started = fleet.standins().startedStreams("beater-llm-1");
			Thread.sleep(3000);
			assertThat(fleet.standins().startedStreams("beater-llm-1")).as("streams started 5 s after the announcement")
				.isEqualTo(started);
			fleet.await("the stop is done", Duration.ofSeconds(60),
					() -> fleet.run("status").contains("backend_server/beater-llm-1  DONE"));
			fleet.standins().setStopped("beater-llm-1", true);
			Thread.sleep(2000);
			load.finish();
			load.report("planned stop of an engine");
			load.assertAnswersComplete();
			assertThat(fleet.standins().overcommittedBytes()).isZero();
		}
	}

	/** Guards against new work for a server that the host list marks as leaving. */
	@Test
	void leavingServerGetsNoNewWork() throws InterruptedException {
		try (Fleet fleet = Fleet.start(this.directory, 2, 1); Workload load = new Workload(fleet, 20)) {
			load.startStreams(10);
			Thread.sleep(1000);
			fleet.standins().setLeaving("beater-llm-2", true);
			Thread.sleep(BOUND.toMillis());
			long started = fleet.standins().startedStreams("beater-llm-2");
			Thread.sleep(3000);
			assertThat(fleet.standins().startedStreams("beater-llm-2")).isEqualTo(started);
			load.finish();
			load.report("leaving server");
			load.assertAnswersComplete();
		}
	}

}
