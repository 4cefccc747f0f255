package org.celeryhill.fuzz;

import java.util.List;
import java.util.function.BooleanSupplier;

import org.celeryhill.base.AttemptId;
import org.celeryhill.port.RowKey;
import org.celeryhill.port.RowWrite;
import org.celeryhill.port.TableService;

/**
 * Table service as one process uses it. Other steps can run before each call; if the
 * process has crashed by then, the call and the rest of its step do not happen.
 */
final class ProcessTable implements TableService {

	/** Table. */
	private final TableService table;

	/** Lets other steps run. */
	private final Runnable beforeCall;

	/** Whether the process is alive. */
	private final BooleanSupplier isAlive;

	ProcessTable(TableService table, Runnable beforeCall, BooleanSupplier isAlive) {
		this.table = table;
		this.beforeCall = beforeCall;
		this.isAlive = isAlive;
	}

	@Override
	public ReadResult read(RowKey key) {
		begin();
		return this.table.read(key);
	}

	@Override
	public ScanResult scan(String name, String keyPrefix) {
		begin();
		return this.table.scan(name, keyPrefix);
	}

	@Override
	public WriteResult write(AttemptId attempt, List<RowWrite> writes) {
		begin();
		return this.table.write(attempt, writes);
	}

	private void begin() {
		this.beforeCall.run();
		if (!this.isAlive.getAsBoolean()) {
			throw new ProcessCrashedException();
		}
	}

}
