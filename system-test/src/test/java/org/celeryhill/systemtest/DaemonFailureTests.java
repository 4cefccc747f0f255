package org.celeryhill.systemtest;

import java.nio.file.Path;
import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Failures of real daemons under load: kills, pauses, outages and replacements.
 */
class DaemonFailureTests {

	/** Tokens of an answer; at about 20 ms each a stream lasts for some seconds. */
	private static final int TOKENS = 150;

	/** Outage of the table service, in seconds; the stated target is 120. */
	private static final int OUTAGE_SECONDS = Integer.getInteger("celeryhill.outage.seconds", 15);

	@TempDir(cleanup = CleanupMode.ON_SUCCESS)
	private Path directory;

	/** Guards against answers cut off and bookings run twice when an entry host dies. */
	@Test
	void killedEntryDaemonCutsNothingOff() throws InterruptedException {
		try (Fleet fleet = Fleet.start(this.directory, 3, 2); Workload load = new Workload(fleet, TOKENS)) {
			load.startStreams(50);
			load.startBookings(10);
			Thread.sleep(1500);
			fleet.entry(1).kill();
			Thread.sleep(1500);
			fleet.startEntry(1);
			Thread.sleep(3000);
			load.finish();
			load.report("killed entry daemon");
			load.assertAnswersComplete();
			load.assertBookingsTruthful();
			assertThat(load.bookings("ran")).isPositive();
			assertThat(fleet.standins().overcommittedBytes()).isZero();
		}
	}

	/** Guards against a graceful shutdown that cuts requests off or refuses falsely. */
	@Test
	void rollingReplacementCutsNothingOff() throws InterruptedException {
		try (Fleet fleet = Fleet.start(this.directory, 3, 2); Workload load = new Workload(fleet, TOKENS)) {
			load.startStreams(30);
			load.startBookings(5);
			for (int i = 1; i <= 3; i++) {
				Thread.sleep(1000);
				assertThat(fleet.entry(i).terminate(Duration.ofSeconds(40))).isZero();
				fleet.startEntry(i);
				fleet.await("all entry daemons ready", Duration.ofSeconds(30), () -> fleet.readyHosts().size() == 3);
			}
			for (int i = 1; i <= 2; i++) {
				assertThat(fleet.planner(i).terminate(Duration.ofSeconds(20))).isZero();
				fleet.startPlanner(i);
			}
			load.finish();
			load.report("rolling replacement");
			load.assertAnswersComplete();
			load.assertBookingsTruthful();
			assertThat(load.bookings("unknown")).as("bookings with unknown outcome").isZero();
			assertThat(load.bookings("broken")).as("bookings without an answer").isZero();
			assertThat(fleet.standins().overcommittedBytes()).isZero();
		}
	}

	/**
	 * Guards against streams that depend on the store, and bookings that run without a
	 * claim.
	 */
	@Test
	void tableOutageStopsOnlyBookings() throws InterruptedException {
		try (Fleet fleet = Fleet.start(this.directory, 3, 2); Workload load = new Workload(fleet, TOKENS)) {
			load.startStreams(30);
			load.startBookings(5);
			Thread.sleep(1000);
			fleet.standins().setDown("table", true);
			Caller.Answer during = fleet.caller("mill-a-key").stream("mill-a/furnish@1", "during the outage", 10);
			assertThat(during.isComplete()).as(during.toString()).isTrue();
			Thread.sleep(Duration.ofSeconds(OUTAGE_SECONDS).toMillis());
			fleet.standins().setDown("table", false);
			Thread.sleep(2000);
			load.finish();
			load.report("table outage of " + OUTAGE_SECONDS + " s");
			load.assertAnswersComplete();
			load.assertBookingsTruthful();
			assertThat(load.bookings("ran")).isPositive();
		}
	}

	/** Guards against a planner that wakes after its lease and overcommits an engine. */
	@Test
	void pausedPlannerDoesNotOvercommit() throws InterruptedException {
		try (Fleet fleet = Fleet.start(this.directory, 1, 2, "--engine-memory-gib", "40");
				Workload load = new Workload(fleet, TOKENS)) {
			load.startStreams(10);
			for (int i = 0; i < 2; i++) {
				int paused = 1 + i % 2;
				fleet.planner(paused).pause();
				fleet.standins().setStopped("beater-llm-1", i % 2 == 0);
				Thread.sleep(12_000);
				fleet.planner(paused).resume();
				Thread.sleep(2000);
			}
			load.finish();
			load.report("paused planner");
			load.assertAnswersComplete();
			assertThat(fleet.standins().overcommittedBytes()).isZero();
		}
	}

}
