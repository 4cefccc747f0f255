package org.celeryhill.systemtest;

import java.nio.file.Path;
import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that streams and bookings survive failures of daemon processes under load:
 * kills, pauses, outages of the table service and rolling replacements.
 */
class DaemonFailureTests {

	/** Length of a stream, about 3 s at 20 ms per token. */
	private static final int TOKENS_PER_STREAM = 150;

	/** Outage of the table service in seconds; the specified target is 120. */
	private static final int OUTAGE_SECONDS = Integer.getInteger("celeryhill.outage.seconds", 15);

	@TempDir(cleanup = CleanupMode.ON_SUCCESS)
	private Path directory;

	/**
	 * Guards against interrupted streams and repeated bookings when an entry daemon is
	 * killed while it serves both.
	 */
	@Test
	void killedEntryDaemonInterruptsNoStreamAndRepeatsNoBooking() throws InterruptedException {
		try (Fleet fleet = Fleet.start(this.directory, 3, 2); Workload load = new Workload(fleet, TOKENS_PER_STREAM)) {
			load.startStreams(50);
			load.startBookings(10);
			Thread.sleep(1500);
			fleet.entryProcess(1).kill();
			Thread.sleep(1500);
			fleet.startEntry(1);
			Thread.sleep(3000);
			load.finish();
			load.printReport("killed entry daemon");
			load.assertStreamsComplete();
			load.assertBookingOutcomesCorrect();
			assertThat(load.countBookings("ran")).isPositive();
			assertThat(fleet.standinClient().readOvercommittedBytes()).isZero();
		}
	}

	/**
	 * Guards against a graceful shutdown that interrupts running requests or reports a
	 * wrong outcome to their callers.
	 */
	@Test
	void rollingReplacementInterruptsNoRequest() throws InterruptedException {
		try (Fleet fleet = Fleet.start(this.directory, 3, 2); Workload load = new Workload(fleet, TOKENS_PER_STREAM)) {
			load.startStreams(30);
			load.startBookings(5);
			for (int i = 1; i <= 3; i++) {
				Thread.sleep(1000);
				assertThat(fleet.entryProcess(i).terminate(Duration.ofSeconds(40))).isZero();
				fleet.startEntry(i);
				fleet.await("all entry daemons ready", Duration.ofSeconds(30), () -> fleet.readyHosts().size() == 3);
			}
			for (int i = 1; i <= 2; i++) {
				assertThat(fleet.plannerProcess(i).terminate(Duration.ofSeconds(20))).isZero();
				fleet.startPlanner(i);
			}
			load.finish();
			load.printReport("rolling replacement");
			load.assertStreamsComplete();
			load.assertBookingOutcomesCorrect();
			assertThat(load.countBookings("unknown")).as("bookings with unknown outcome").isZero();
			assertThat(load.countBookings("broken")).as("bookings without a response").isZero();
			assertThat(fleet.standinClient().readOvercommittedBytes()).isZero();
		}
	}

	/**
	 * Guards against streams that need the table service, and against bookings that run
	 * without a claim while it is down.
	 */
	@Test
	void tableOutageInterruptsNoStream() throws InterruptedException {
		try (Fleet fleet = Fleet.start(this.directory, 3, 2); Workload load = new Workload(fleet, TOKENS_PER_STREAM)) {
			load.startStreams(30);
			load.startBookings(5);
			Thread.sleep(1000);
			fleet.standinClient().setDown("table", true);
			Caller.StreamResult during = fleet.newCaller("mill-a-key")
				.stream("mill-a/furnish@1", "during the outage", 10);
			assertThat(during.isComplete()).as(during.toString()).isTrue();
			Thread.sleep(Duration.ofSeconds(OUTAGE_SECONDS).toMillis());
			fleet.standinClient().setDown("table", false);
			Thread.sleep(2000);
			load.finish();
			load.printReport("table outage of " + OUTAGE_SECONDS + " s");
			load.assertStreamsComplete();
			load.assertBookingOutcomesCorrect();
			assertThat(load.countBookings("ran")).isPositive();
		}
	}

	/**
	 * Guards against a planner that is paused until its lease has expired, resumes and
	 * overcommits the memory of an engine.
	 */
	@Test
	void pausedPlannerDoesNotOvercommit() throws InterruptedException {
		try (Fleet fleet = Fleet.start(this.directory, 1, 2, "--engine-memory-gib", "40");
				Workload load = new Workload(fleet, TOKENS_PER_STREAM)) {
			load.startStreams(10);
			for (int i = 0; i < 2; i++) {
				int paused = 1 + i % 2;
				fleet.plannerProcess(paused).pause();
				fleet.standinClient().setStopped("beater-llm-1", i % 2 == 0);
				Thread.sleep(12_000);
				fleet.plannerProcess(paused).resume();
				Thread.sleep(2000);
			}
			load.finish();
			load.printReport("paused planner");
			load.assertStreamsComplete();
			assertThat(fleet.standinClient().readOvercommittedBytes()).isZero();
		}
	}

}
