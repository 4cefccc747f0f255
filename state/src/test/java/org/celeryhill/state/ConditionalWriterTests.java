package org.celeryhill.state;

import org.celeryhill.fake.Fault;
import org.celeryhill.port.Row;
import org.celeryhill.port.RowKey;
import org.celeryhill.port.RowWrite;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ConditionalWriterTests {

	private static final RowKey KEY = RowKey.of("any", "row");

	private final Fixture fixture = new Fixture();

	/** Guards against a write that is reported as failed although it took effect. */
	@Test
	void lostAnswerIsReadBack() {
		this.fixture.faults.script(Fixture.TABLE, Fault.LOST_ANSWER);
		assertThat(this.fixture.writer.write(RowWrite.create(KEY, "1"))).isInstanceOf(ConditionalWriter.Applied.class);
		assertThat(row().version()).isEqualTo(1);
	}

	/**
	 * Guards against a late first try that takes effect in addition to its repetition.
	 */
	@Test
	void lateEffectTakesEffectOnce() {
		this.fixture.faults.script(Fixture.TABLE, Fault.DELAYED_EFFECT);
		assertThat(this.fixture.writer.write(RowWrite.create(KEY, "1"))).isInstanceOf(ConditionalWriter.Applied.class);
		this.fixture.advance(10);
		assertThat(row().version()).isEqualTo(1);
	}

	/** Guards against taking another writer's value for the own one. */
	@Test
	void otherWriterOvertakes() {
		this.fixture.writer.write(RowWrite.create(KEY, "1"));
		this.fixture.faults.script(Fixture.TABLE, Fault.LOST_REQUEST);
		assertThat(this.fixture.writer.write(RowWrite.create(KEY, "2")))
			.isEqualTo(new ConditionalWriter.VersionConflict(false));
		assertThat(row().value()).isEqualTo("1");
	}

	/** Guards against an absent store that is reported as an unknown outcome. */
	@Test
	void absentStoreAppliesNothing() {
		this.fixture.faults.setDown(Fixture.TABLE, true);
		assertThat(this.fixture.writer.write(RowWrite.create(KEY, "1")))
			.isInstanceOf(ConditionalWriter.NotApplied.class);
	}

	/** Guards against an unknown outcome that can never be resolved. */
	@Test
	void unresolvedWriteIsResolvedLater() {
		this.fixture.faults.script(Fixture.TABLE, Fault.LOST_ANSWER, Fault.DOWN, Fault.DOWN, Fault.DOWN, Fault.DOWN,
				Fault.DOWN);
		ConditionalWriter.Outcome outcome = this.fixture.writer.write(RowWrite.create(KEY, "1"));
		assertThat(outcome).isInstanceOf(ConditionalWriter.Unresolved.class);
		assertThat(this.fixture.writer.resolve((ConditionalWriter.Unresolved) outcome))
			.isInstanceOf(ConditionalWriter.Applied.class);
		assertThat(row().version()).isEqualTo(1);
	}

	private Row row() {
		return this.fixture.table.peek(KEY).orElseThrow();
	}

}
