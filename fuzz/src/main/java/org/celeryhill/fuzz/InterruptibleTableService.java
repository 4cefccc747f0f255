package org.celeryhill.fuzz;

import java.util.List;
import java.util.function.BooleanSupplier;

import org.celeryhill.base.AttemptId;
import org.celeryhill.port.RowKey;
import org.celeryhill.port.RowWrite;
import org.celeryhill.port.TableService;

/**
 * Table service of one process that interleaves the steps of other processes: they can
 * run before each call. If the process has crashed by then, the call and the rest of its
 * step are not executed.
 */
final class InterruptibleTableService implements TableService {

	/** Table service that executes the calls. */
	private final TableService table;

	/** Runs the steps of other processes that are due before a call. */
	private final Runnable interleavedSteps;

	/** Tells whether the process has not crashed. */
	private final BooleanSupplier isAlive;

	InterruptibleTableService(TableService table, Runnable interleavedSteps, BooleanSupplier isAlive) {
		this.table = table;
		this.interleavedSteps = interleavedSteps;
		this.isAlive = isAlive;
	}

	@Override
	public ReadResult read(RowKey key) {
		runInterleavedSteps();
		return this.table.read(key);
	}

	@Override
	public ScanResult scan(String name, String keyPrefix) {
		runInterleavedSteps();
		return this.table.scan(name, keyPrefix);
	}

	@Override
	public WriteResult write(AttemptId attempt, List<RowWrite> writes) {
		runInterleavedSteps();
		return this.table.write(attempt, writes);
	}

	private void runInterleavedSteps() {
		this.interleavedSteps.run();
		if (!this.isAlive.getAsBoolean()) {
			throw new ProcessCrashedException();
		}
	}

}
