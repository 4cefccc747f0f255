package org.celeryhill.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * CPU time and resident memory of a Linux process at a point in time. Immutable and
 * thread-safe.
 *
 * @param atNanos the time of the reading, in monotonic nanoseconds
 * @param cpuTicks the CPU time of the process so far, in ticks of
 * {@link #TICKS_PER_SECOND}
 * @param residentKib the resident memory in KiB
 */
record ProcessUsage(long atNanos, long cpuTicks, long residentKib) {

	/** Ticks per second of the times in /proc, fixed by the kernel ABI. */
	static final int TICKS_PER_SECOND = 100;

	/** Index of the user time among the fields of /proc/PID/stat after the name. */
	private static final int USER_TIME_INDEX = 11;

	/**
	 * Reads the usage of a process.
	 * @param pid the process id, 0 for none
	 * @return the usage, with zero CPU time and memory for process id 0, never null
	 * @throws IOException if the process does not exist
	 */
	static ProcessUsage read(long pid) throws IOException {
		if (pid == 0) {
			return new ProcessUsage(System.nanoTime(), 0, 0);
		}
		String stat = Files.readString(Path.of("/proc", Long.toString(pid), "stat"));
		String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
		long ticks = Long.parseLong(fields[USER_TIME_INDEX]) + Long.parseLong(fields[USER_TIME_INDEX + 1]);
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
	 * Describes the usage since an earlier reading.
	 * @param before the earlier reading, not null
	 * @return a line with the average number of cores in use and the resident memory at
	 * both readings, never null
	 */
	String describeSince(ProcessUsage before) {
		double seconds = (this.atNanos - before.atNanos) / 1e9;
		double cores = (this.cpuTicks - before.cpuTicks) / (double) TICKS_PER_SECOND / seconds;
		return String.format("process: cores=%.3f resident_mib=%.1f resident_before_mib=%.1f", cores,
				this.residentKib / 1024.0, before.residentKib / 1024.0);
	}

}
