package org.celeryhill.state;

import org.celeryhill.fake.Fault;
import org.celeryhill.port.Row;
import org.celeryhill.port.RowKey;
import org.celeryhill.port.RowWrite;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ConditionalWriterTests {

	private static final RowKey KEY = RowKey.of("any", "row");

	private final StateFixture fixture = new StateFixture();

	/**
	 * Guards against a write that took effect but is reported as failed because its
	 * response was lost.
	 */
	@Test
	void writeWithLostResponseIsReadBack() {
		this.fixture.faults.script(StateFixture.TABLE, Fault.LOST_ANSWER);
		assertThat(this.fixture.writer.write(RowWrite.create(KEY, "1"))).isInstanceOf(ConditionalWriter.Applied.class);
		assertThat(readRow().version()).isEqualTo(1);
	}

	/**
	 * Guards against a write that takes effect twice because its first try is delayed and
	 * arrives after its retry.
	 */
	@Test
	void delayedWriteTakesEffectOnce() {
		this.fixture.faults.script(StateFixture.TABLE, Fault.DELAYED_EFFECT);
		assertThat(this.fixture.writer.write(RowWrite.create(KEY, "1"))).isInstanceOf(ConditionalWriter.Applied.class);
		this.fixture.advanceSeconds(10);
		assertThat(readRow().version()).isEqualTo(1);
	}

	/**
	 * Guards against a writer that takes the value of another writer for its own. The row
	 * exists already and the first try of the second write is lost.
	 */
	@Test
	void writeAfterOtherWriterIsVersionConflict() {
		this.fixture.writer.write(RowWrite.create(KEY, "1"));
		this.fixture.faults.script(StateFixture.TABLE, Fault.LOST_REQUEST);
		assertThat(this.fixture.writer.write(RowWrite.create(KEY, "2")))
			.isEqualTo(new ConditionalWriter.VersionConflict(false));
		assertThat(readRow().value()).isEqualTo("1");
	}

	/**
	 * Guards against an unknown outcome for a write that never reached the store because
	 * the store was down.
	 */
	@Test
	void writeIsNotAppliedWhileStoreIsDown() {
		this.fixture.faults.setDown(StateFixture.TABLE, true);
		assertThat(this.fixture.writer.write(RowWrite.create(KEY, "1")))
			.isInstanceOf(ConditionalWriter.NotApplied.class);
	}

	/**
	 * Guards against an unknown outcome that cannot be resolved after the store is
	 * available again.
	 */
	@Test
	void unresolvedWriteIsResolvedLater() {
		this.fixture.faults.script(StateFixture.TABLE, Fault.LOST_ANSWER, Fault.DOWN, Fault.DOWN, Fault.DOWN,
				Fault.DOWN, Fault.DOWN);
		ConditionalWriter.Outcome outcome = this.fixture.writer.write(RowWrite.create(KEY, "1"));
		assertThat(outcome).isInstanceOf(ConditionalWriter.Unresolved.class);
		assertThat(this.fixture.writer.resolve((ConditionalWriter.Unresolved) outcome))
			.isInstanceOf(ConditionalWriter.Applied.class);
		assertThat(readRow().version()).isEqualTo(1);
	}

	private Row readRow() {
		return this.fixture.table.peek(KEY).orElseThrow();
	}

}
