package org.celeryhill.fuzz;

import java.util.List;

import org.celeryhill.base.AttemptId;
import org.celeryhill.fake.FakeTableService;
import org.celeryhill.port.Row;
import org.celeryhill.port.RowKey;
import org.celeryhill.port.RowWrite;
import org.celeryhill.port.TableService;

/**
 * Read-only table service for an oracle. Reads have no faults and do not interleave other
 * steps; scans and writes fail.
 */
final class OracleTableService implements TableService {

	/** Table whose rows are read. */
	private final FakeTableService table;

	OracleTableService(FakeTableService table) {
		this.table = table;
	}

	@Override
	public ReadResult read(RowKey key) {
		return this.table.peek(key).<ReadResult>map((Row row) -> new Found(row)).orElseGet(() -> new Absent(key));
	}

	@Override
	public ScanResult scan(String name, String keyPrefix) {
		return new ReadFailed("scans are not supported for oracles");
	}

	@Override
	public WriteResult write(AttemptId attempt, List<RowWrite> writes) {
		return new NotWritten("writes are not supported for oracles");
	}

}
