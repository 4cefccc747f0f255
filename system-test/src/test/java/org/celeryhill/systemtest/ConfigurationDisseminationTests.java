package org.celeryhill.systemtest;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that an accepted configuration revision takes effect on every live daemon within
 * 9 s and never reverts to an earlier one.
 */
class ConfigurationDisseminationTests {

	/** Specified time for an accepted revision to take effect on all daemons. */
	private static final Duration PROPAGATION_LIMIT = Duration.ofSeconds(9);

	@TempDir(cleanup = CleanupMode.ON_SUCCESS)
	private Path directory;

	private Path writeChangedConfiguration(int percent) throws IOException {
		Path files = Files.createDirectories(this.directory.resolve("revision-" + percent));
		try (java.util.stream.Stream<Path> paths = Files.list(Fleet.EXAMPLE_CONFIGURATION)) {
			for (Path path : paths.toList()) {
				String text = Files.readString(path)
					.replace("new-system-percent: 100", "new-system-percent: " + percent);
				Files.writeString(files.resolve(path.getFileName()), text);
			}
		}
		return files;
	}

	private static boolean isRevisionApplied(Fleet fleet, int entryNumber, int number) {
		return fleet.fetchStateDump(fleet.admin(entryNumber)).replace(" ", "").contains("\"revision\":" + number + ",");
	}

	private static long awaitRevisionMillis(Fleet fleet, int entries, int number) {
		long start = System.nanoTime();
		fleet.await("revision " + number + " on all daemons", PROPAGATION_LIMIT, () -> {
			boolean isAppliedEverywhere = true;
			for (int i = 1; i <= entries; i++) {
				isAppliedEverywhere &= isRevisionApplied(fleet, i, number);
			}
			return isAppliedEverywhere;
		});
		return (System.nanoTime() - start) / 1_000_000;
	}

	/**
	 * Guards against dissemination that needs the store: with the store down, a resumed
	 * daemon and a restarted one must get the revision from their peers. Also guards
	 * against a daemon that reverts after a pause.
	 */
	@Test
	void acceptedRevisionIsAppliedWithinLimitAndNeverReverts() throws IOException, InterruptedException {
		try (Fleet fleet = Fleet.start(this.directory, 3, 1)) {
			fleet.applyConfiguration(writeChangedConfiguration(90));
			long healthyMillis = awaitRevisionMillis(fleet, 3, 2);
			fleet.entryProcess(3).pause();
			fleet.applyConfiguration(writeChangedConfiguration(80));
			fleet.await("revision 3 on one daemon", PROPAGATION_LIMIT,
					() -> isRevisionApplied(fleet, 1, 3) || isRevisionApplied(fleet, 2, 3));
			fleet.standinClient().setDown("table", true);
			fleet.standinClient().setDown("object", true);
			fleet.entryProcess(3).resume();
			long storeDownMillis = awaitRevisionMillis(fleet, 3, 3);
			fleet.entryProcess(2).kill();
			fleet.startEntry(2);
			fleet.await("replaced daemon starts from its peers while the store is down", Duration.ofSeconds(30),
					() -> fleet.readyHosts().size() == 3 && isRevisionApplied(fleet, 2, 3));
			fleet.standinClient().clearFaults();
			Thread.sleep(3000);
			for (int i = 1; i <= 3; i++) {
				assertThat(isRevisionApplied(fleet, i, 3)).as("daemon " + i + " still has revision 3").isTrue();
			}
			System.out.println("system-test configuration: in effect on 3 daemons after " + healthyMillis
					+ " ms with the store healthy, " + storeDownMillis + " ms with the store down after acceptance");
		}
	}

}
