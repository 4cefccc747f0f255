package org.celeryhill.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Check of the resident memory of the daemons. Thread-safe.
 */
final class MemoryCheck {

	private static final String RESIDENT = "VmRSS:";

	private static final int PLANTED_FACTOR = 100;

	private final Fleet fleet;

	private final SoakContext context;

	private final AtomicLong maxKilobytes = new AtomicLong();

	MemoryCheck(Fleet fleet, SoakContext context) {
		this.fleet = fleet;
		this.context = context;
	}

	/**
	 * Reads the memory of each daemon that runs.
	 */
	void run() {
		for (EdgeProcess daemon : this.fleet.daemons()) {
			long kilobytes = readResident(daemon.pid());
			if (this.context.planted() == PlantedFault.LARGE_MEMORY) {
				kilobytes *= PLANTED_FACTOR;
			}
			long largest = this.maxKilobytes.getAndAccumulate(kilobytes, Math::max);
			if (kilobytes > Math.max(largest, Bounds.MEMORY_KB)) {
				this.context.violations().add(Promise.MEMORY, daemon.name() + " has " + kilobytes + " kB");
			}
		}
	}

	long maxKilobytes() {
		return this.maxKilobytes.get();
	}

	// Returns 0 if the process has ended in the meantime.
	private static long readResident(long pid) {
		try {
			return Files.readAllLines(Path.of("/proc", String.valueOf(pid), "status"))
				.stream()
				.filter((line) -> line.startsWith(RESIDENT))
				.mapToLong((line) -> Long.parseLong(line.replaceAll("[^0-9]", "")))
				.findFirst()
				.orElse(0);
		}
		catch (IOException ex) {
			return 0;
		}
	}

}
