package org.celeryhill.state;

import java.util.List;
import java.util.Map;

import org.celeryhill.base.Finding;
import org.celeryhill.base.RevisionDocument;
import org.celeryhill.fake.FakeObjectService;
import org.celeryhill.fake.Fault;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationStoreTests {

	private final Fixture fixture = new Fixture();

	private final ConfigurationStore store = ConfigurationStore.create(this.fixture.writer, this.fixture.objects,
			this.fixture.timer, (document) -> document.files().containsKey("bad")
					? List.of(Finding.error("bad", 1, "", "is bad")) : List.of());

	/** Guards against two operators that both think they have won. */
	@Test
	void racingOperatorsGetOneWinner() {
		assertThat(this.store.propose(document("one"), 0, "anna")).isEqualTo(new ConfigurationStore.Accepted(1));
		assertThat(this.store.propose(document("two"), 0, "bert")).isEqualTo(new ConfigurationStore.HeadConflict(1));
		assertThat(this.store.propose(document("one"), 0, "anna")).isEqualTo(new ConfigurationStore.Accepted(1));
	}

	/** Guards against an accepted proposal that is reported as failed. */
	@Test
	void unknownOutcomeIsResolvedByRepeating() {
		this.fixture.faults.script(Fixture.TABLE, Fault.NONE, Fault.LOST_ANSWER, Fault.DOWN, Fault.DOWN, Fault.DOWN,
				Fault.DOWN, Fault.DOWN);
		assertThat(this.store.propose(document("one"), 0, "anna")).isEqualTo(new ConfigurationStore.OutcomeUnknown(1));
		assertThat(this.store.propose(document("one"), 0, "anna")).isEqualTo(new ConfigurationStore.Accepted(1));
	}

	/** Regression of fuzzing seed 202: an accepted proposal was reported as unchanged. */
	@Test
	void conflictWithOwnWriteIsUnknown() {
		this.fixture.faults.script(Fixture.TABLE, Fault.NONE);
		this.fixture.faults.script(Fixture.TABLE, Fault.LOST_ANSWER, Fault.DOWN, Fault.NONE, Fault.DOWN, Fault.DOWN,
				Fault.DOWN, Fault.DOWN);
		assertThat(this.store.propose(document("one"), 0, "anna")).isEqualTo(new ConfigurationStore.OutcomeUnknown(1));
		this.fixture.faults.clear();
		assertThat(this.store.propose(document("one"), 0, "anna")).isEqualTo(new ConfigurationStore.Accepted(1));
	}

	/** Guards against a head that names an object which does not exist. */
	@Test
	void nothingIsAcceptedWithoutObjectStore() {
		this.fixture.faults.setDown(FakeObjectService.TARGET, true);
		assertThat(this.store.propose(document("one"), 0, "anna")).isInstanceOf(StoreUnavailable.class);
		assertThat(this.store.readHead()).isEqualTo(new ConfigurationStore.Head(ConfigurationHead.NONE));
	}

	/** Guards against history that is lost when the head row is full. */
	@Test
	void oldRevisionsAreFetched() {
		for (int number = 0; number < 40; number++) {
			this.store.propose(document("text " + number), number, "anna");
		}
		RevisionDocument second = ((ConfigurationStore.Fetched) this.store.fetch(2)).document();
		assertThat(second).isEqualTo(document("text 1").withNumber(2));
		assertThat(this.store.fetch(41)).isEqualTo(new ConfigurationStore.NotAccepted(41));
	}

	/** Guards against a configuration that no daemon can apply. */
	@Test
	void proposalWithErrorIsRejected() {
		assertThat(this.store.propose(new RevisionDocument(0, Map.of("bad", "")), 0, "anna"))
			.isInstanceOf(ConfigurationStore.Rejected.class);
	}

	/**
	 * Guards against a daemon that applies a revision although it knows of a higher one.
	 */
	@Test
	void knownRevisionExcludesLowerOnes() {
		AppliedRevision state = AppliedRevision.NONE.withKnown(7);
		assertThat(state.canApply(6)).isFalse();
		assertThat(state.withApplied(7).canApply(7)).isFalse();
		assertThat(state.withApplied(7).withKnown(3).canApply(8)).isTrue();
	}

	private static RevisionDocument document(String text) {
		return new RevisionDocument(0, Map.of("template.yaml", text));
	}

}
