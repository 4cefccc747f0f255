package org.celeryhill.fuzz;

import java.util.List;

import org.celeryhill.base.AttemptId;
import org.celeryhill.fake.FakeTableService;
import org.celeryhill.port.Row;
import org.celeryhill.port.RowKey;
import org.celeryhill.port.RowWrite;
import org.celeryhill.port.TableService;

/**
 * Reads rows for an oracle, without faults and without letting other steps run.
 */
final class PeekTable implements TableService {

	/** Table. */
	private final FakeTableService table;

	PeekTable(FakeTableService table) {
		this.table = table;
	}

	@Override
	public ReadResult read(RowKey key) {
		return this.table.peek(key).<ReadResult>map((Row row) -> new Found(row)).orElseGet(() -> new Absent(key));
	}

	@Override
	public ScanResult scan(String name, String keyPrefix) {
		return new ReadFailed("not for oracles");
	}

	@Override
	public WriteResult write(AttemptId attempt, List<RowWrite> writes) {
		return new NotWritten("not for oracles");
	}

}
