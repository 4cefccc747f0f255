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
 * An accepted configuration is in effect on every live daemon within 9 s and never
 * reverts.
 */
class ConfigurationSpreadTests {

	/** Stated bound for an accepted configuration to be in effect everywhere. */
	private static final Duration BOUND = Duration.ofSeconds(9);

	@TempDir(cleanup = CleanupMode.ON_SUCCESS)
	private Path directory;

	private Path changed(int percent) throws IOException {
		Path files = Files.createDirectories(this.directory.resolve("revision-" + percent));
		try (java.util.stream.Stream<Path> paths = Files.list(Fleet.EXAMPLE)) {
			for (Path path : paths.toList()) {
				String text = Files.readString(path)
					.replace("new-system-percent: 100", "new-system-percent: " + percent);
				Files.writeString(files.resolve(path.getFileName()), text);
			}
		}
		return files;
	}

	private static boolean isApplied(Fleet fleet, int entry, int number) {
		return fleet.dump(fleet.admin(entry)).replace(" ", "").contains("\"revision\":" + number + ",");
	}

	private static long millisUntilApplied(Fleet fleet, int entries, int number) {
		long start = System.nanoTime();
		fleet.await("revision " + number + " on all daemons", BOUND, () -> {
			boolean isEverywhere = true;
			for (int i = 1; i <= entries; i++) {
				isEverywhere &= isApplied(fleet, i, number);
			}
			return isEverywhere;
		});
		return (System.nanoTime() - start) / 1_000_000;
	}

	/**
	 * Guards against spread that depends on the store, and against reverts after a pause.
	 */
	@Test
	void acceptedRevisionIsInEffectWithinBound() throws IOException, InterruptedException {
		try (Fleet fleet = Fleet.start(this.directory, 3, 1)) {
			fleet.apply(changed(90));
			long healthy = millisUntilApplied(fleet, 3, 2);
			fleet.entry(3).pause();
			fleet.apply(changed(80));
			fleet.await("revision 3 on one daemon", BOUND, () -> isApplied(fleet, 1, 3) || isApplied(fleet, 2, 3));
			fleet.standins().setDown("table", true);
			fleet.standins().setDown("object", true);
			fleet.entry(3).resume();
			long storeDown = millisUntilApplied(fleet, 3, 3);
			fleet.entry(2).kill();
			fleet.startEntry(2);
			fleet.await("replaced daemon starts from its peers while the store is down", Duration.ofSeconds(30),
					() -> fleet.readyHosts().size() == 3 && isApplied(fleet, 2, 3));
			fleet.standins().clearFaults();
			Thread.sleep(3000);
			for (int i = 1; i <= 3; i++) {
				assertThat(isApplied(fleet, i, 3)).as("daemon " + i + " still has revision 3").isTrue();
			}
			System.out.println("system-test configuration: in effect on 3 daemons after " + healthy
					+ " ms with the store healthy, " + storeDown + " ms with the store down after acceptance");
		}
	}

}
