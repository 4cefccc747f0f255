package org.celeryhill.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Processor time and resident memory of a process on Linux. Immutable and thread-safe.
 *
 * @param atNanos the monotonic time in nanoseconds
 * @param cpuTicks the processor time in ticks of {@link #TICKS_PER_SECOND}
 * @param residentKib the resident memory in KiB
 */
record ProcessUsage(long atNanos, long cpuTicks, long residentKib) {

	/** Ticks a second of the times in /proc, fixed by the kernel's interface. */
	static final int TICKS_PER_SECOND = 100;

	/** Index of the user time among the fields after the process name. */
	private static final int USER_TIME = 11;

	/**
	 * Reads the usage of a process.
	 * @param pid the process, 0 for none
	 * @return the usage, zeros for none, never null
	 * @throws IOException if the process does not exist
	 */
	static ProcessUsage of(long pid) throws IOException {
		if (pid == 0) {
			return new ProcessUsage(System.nanoTime(), 0, 0);
		}
		String stat = Files.readString(Path.of("/proc", Long.toString(pid), "stat"));
		String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
		long ticks = Long.parseLong(fields[USER_TIME]) + Long.parseLong(fields[USER_TIME + 1]);
		return new ProcessUsage(System.nanoTime(), ticks, residentKib(pid));
	}

	private static long residentKib(long pid) throws IOException {
		for (String line : Files.readAllLines(Path.of("/proc", Long.toString(pid), "status"))) {
			if (line.startsWith("VmRSS:")) {
				return Long.parseLong(line.replaceAll("\\D", ""));
			}
		}
		return 0;
	}

	/**
	 * Returns the usage between two readings.
	 * @param before the earlier reading, not null
	 * @return a line for people, never null
	 */
	String describeSince(ProcessUsage before) {
		double seconds = (this.atNanos - before.atNanos) / 1e9;
		double cores = (this.cpuTicks - before.cpuTicks) / (double) TICKS_PER_SECOND / seconds;
		return String.format("process: cores=%.3f resident_mib=%.1f resident_before_mib=%.1f", cores,
				this.residentKib / 1024.0, before.residentKib / 1024.0);
	}

}
