package org.celeryhill.systemtest;

import java.nio.file.Path;
import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that planned stops of backend servers under load interrupt no stream.
 */
class PlannedStopTests {

	/** Specified time after which a leaving backend server gets no new requests. */
	private static final Duration NEW_WORK_LIMIT = Duration.ofSeconds(5);

	@TempDir(cleanup = CleanupMode.ON_SUCCESS)
	private Path directory;

	/**
	 * Guards against a planned stop that interrupts running streams, or after which an
	 * engine still gets new ones.
	 */
	@Test
	void plannedStopEndsNewStreamsAndInterruptsNone() throws InterruptedException {
		try (Fleet fleet = Fleet.start(this.directory, 2, 2); Workload load = new Workload(fleet, 80)) {
			load.startStreams(20);
			Thread.sleep(1000);
			fleet.runOperatorCommand("plan-stop", "backend-server", "beater-llm-1", "--reason", "repair");
			Thread.sleep(NEW_WORK_LIMIT.toMillis());
			long startedStreams = fleet.standinClient().readStartedStreams("beater-llm-1");
			Thread.sleep(3000);
			assertThat(fleet.standinClient().readStartedStreams("beater-llm-1"))
				.as("streams started more than 5 s after the announcement")
				.isEqualTo(startedStreams);
			fleet.await("the stop is done", Duration.ofSeconds(60),
					() -> fleet.runOperatorCommand("status").contains("backend_server/beater-llm-1  DONE"));
			fleet.standinClient().setStopped("beater-llm-1", true);
			Thread.sleep(2000);
			load.finish();
			load.printReport("planned stop of an engine");
			load.assertStreamsComplete();
			assertThat(fleet.standinClient().readOvercommittedBytes()).isZero();
		}
	}

	/** Guards against new streams on a server that the host list marks as leaving. */
	@Test
	void leavingServerGetsNoNewStreams() throws InterruptedException {
		try (Fleet fleet = Fleet.start(this.directory, 2, 1); Workload load = new Workload(fleet, 20)) {
			load.startStreams(10);
			Thread.sleep(1000);
			fleet.standinClient().setLeaving("beater-llm-2", true);
			Thread.sleep(NEW_WORK_LIMIT.toMillis());
			long startedStreams = fleet.standinClient().readStartedStreams("beater-llm-2");
			Thread.sleep(3000);
			assertThat(fleet.standinClient().readStartedStreams("beater-llm-2")).isEqualTo(startedStreams);
			load.finish();
			load.printReport("leaving server");
			load.assertStreamsComplete();
		}
	}

}
